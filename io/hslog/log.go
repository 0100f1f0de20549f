// Package hslog sets up structured logging. Each message is a short sentence with the name of the part that logs it as
// prefix.
//
// # Usage
//
//	logger := hslog.New(os.Stderr, slog.LevelInfo)
//	log := hslog.Part(logger, "link")
//	log.Info("peer connected", "peer", address) // msg="link: peer connected"
package hslog

import (
	"context"
	"io"
	"log/slog"
)

// New returns a logger that writes one line of key=value pairs for each record.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

// Part returns a logger that prefixes its messages with the name of a part.
func Part(l *slog.Logger, part string) *slog.Logger {
	return slog.New(&prefixHandler{next: l.Handler(), prefix: part + ": "})
}

// Discard returns a logger that discards all records.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

type prefixHandler struct {
	next   slog.Handler
	prefix string
}

// Enabled reports whether records of a level are written.
func (h *prefixHandler) Enabled(ctx context.Context, l slog.Level) bool {
	return h.next.Enabled(ctx, l)
}

// Handle writes the record with the prefix before its message.
func (h *prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	prefixed := slog.NewRecord(r.Time, r.Level, h.prefix+r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		prefixed.AddAttrs(a)
		return true
	})
	return h.next.Handle(ctx, prefixed)
}

// WithAttrs returns a handler with the same prefix that adds attributes.
func (h *prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &prefixHandler{next: h.next.WithAttrs(attrs), prefix: h.prefix}
}

// WithGroup returns a handler with the same prefix that groups attributes.
func (h *prefixHandler) WithGroup(name string) slog.Handler {
	return &prefixHandler{next: h.next.WithGroup(name), prefix: h.prefix}
}
