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

// readBody reads a body up to a size limit. The problem distinguishes a body that is too large from one that arrived
// too slowly or incompletely.
func readBody(w http.ResponseWriter, r *http.Request, limit hsid.Bytes) ([]byte, *hsproblem.Problem) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		p := hsproblem.New(http.StatusRequestEntityTooLarge, hsproblem.BadRequest, fmt.Sprintf("the body exceeds the limit of %d bytes", limit))
		return nil, &p
	}
	if err != nil {
		p := hsproblem.New(http.StatusRequestTimeout, hsproblem.BadRequest, "the body did not arrive completely in time")
		return nil, &p
	}
	if !utf8.Valid(data) {
		p := badRequest("the body isn't valid UTF-8")
		return nil, &p
	}
	return data, nil
}

// decodeBody decodes a JSON body into a value of type T. Unknown fields, wrong types and anything after the value are
// refused.
func decodeBody[T any](w http.ResponseWriter, r *http.Request, limit hsid.Bytes) (T, *hsproblem.Problem) {
	var v T
	data, problem := readBody(w, r, limit)
	if problem != nil {
		return v, problem
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		p := badRequest(describeJSONError(err))
		return v, &p
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		p := badRequest("unexpected data after the JSON value")
		return v, &p
	}
	return v, nil
}

func badRequest(reason string) hsproblem.Problem {
	return hsproblem.New(http.StatusBadRequest, hsproblem.BadRequest, reason)
}

func describeJSONError(err error) string {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Sprintf("the body isn't valid JSON: offset %d: %s", syntax.Offset, syntax)
	case errors.As(err, &mismatch):
		return fmt.Sprintf("field %s: unexpected %s", mismatch.Field, mismatch.Value)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "the body is empty or incomplete"
	}
	return err.Error()
}
