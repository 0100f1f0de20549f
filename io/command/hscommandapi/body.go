package hscommandapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"unicode/utf8"

	"hyssopseam/core/hsid"
	"hyssopseam/io/hsproblem"
)

// readBody reads a body within a bound. The problem tells a body that is too large from one that came
// too slowly or broke off.
func readBody(w http.ResponseWriter, r *http.Request, bound hsid.Bytes) ([]byte, *hsproblem.Problem) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(bound)))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		p := hsproblem.New(http.StatusRequestEntityTooLarge, hsproblem.BadRequest, fmt.Sprintf("the body is over the bound of %d bytes", bound))
		return nil, &p
	}
	if err != nil {
		p := hsproblem.New(http.StatusRequestTimeout, hsproblem.BadRequest, "the body didn't arrive whole in time")
		return nil, &p
	}
	if !utf8.Valid(data) {
		p := bad("the body isn't valid UTF-8")
		return nil, &p
	}
	return data, nil
}

// decodeBody reads a JSON body into a value of type T. Unknown fields, wrong types and anything after the
// value are refused.
func decodeBody[T any](w http.ResponseWriter, r *http.Request, bound hsid.Bytes) (T, *hsproblem.Problem) {
	var v T
	data, problem := readBody(w, r, bound)
	if problem != nil {
		return v, problem
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		p := bad(jsonReason(err))
		return v, &p
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		p := bad("something follows the JSON value")
		return v, &p
	}
	return v, nil
}

func bad(reason string) hsproblem.Problem {
	return hsproblem.New(http.StatusBadRequest, hsproblem.BadRequest, reason)
}

func jsonReason(err error) string {
	var syntax *json.SyntaxError
	var wrong *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Sprintf("the body is no JSON: offset %d: %s", syntax.Offset, syntax)
	case errors.As(err, &wrong):
		return fmt.Sprintf("field %s: it can't be a %s", wrong.Field, wrong.Value)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "the body ends too early"
	}
	return err.Error()
}
