// Package httpresponse checks that what a peer sends is a response of HTTP/1. The parser of net/http is lenient: it
// accepts any status of three characters that is a number, any version, and blanks in the names of fields.
package httpresponse

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// MalformedError means that a response is not one of HTTP/1.
type MalformedError struct {
	// What names the part that is malformed.
	What string
}

// Error returns the part.
func (e *MalformedError) Error() string { return "malformed response: " + e.What }

// Check returns a *MalformedError if a response that net/http has parsed is not a final response of HTTP/1.
func Check(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return &MalformedError{What: "version"}
	case resp.StatusCode < http.StatusOK || resp.StatusCode > 599:
		return &MalformedError{What: "status"}
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedError{What: "field name"}
		}
	}
	return nil
}

// Transport is an http.Transport that fails with a *MalformedError for malformed responses.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
