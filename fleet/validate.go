package fleet

import "unicode"

const (
	// maxNameBytes bounds the texts of an endpoint: its identity, service, zone and software version.
	maxNameBytes = 256
	// maxSlots bounds the slots of an endpoint, and maxStartUnixMilli its start time, which JSON numbers
	// hold exactly up to here.
	maxSlots          = 1 << 16
	maxStartUnixMilli = 1 << 53
)

// InvalidEndpointError reports an endpoint that cannot be used.
type InvalidEndpointError struct{ Field string }

// Error names the field that is missing or has a value that no endpoint can have.
func (e *InvalidEndpointError) Error() string { return "endpoint with an invalid " + e.Field }

// Validate returns an *InvalidEndpointError if a value of the endpoint is one that none can have, so that
// requests cannot be sent to it or what is kept of it is not bounded.
func (e *Endpoint) Validate() error {
	at := e.Address.Addr()
	for _, check := range []struct {
		field string
		valid bool
	}{
		{"id", isHeaderValue(string(e.ID))},
		{"service", isName(e.Service)},
		{"zone", isName(string(e.Zone))},
		{"version", len(e.Software) <= maxNameBytes},
		{"address", e.Address.Port() != 0 && at.Zone() == "" && (at.IsGlobalUnicast() || at.IsLoopback() || at.IsLinkLocalUnicast())},
		{"slots", e.IsKVStore || e.Slots > 0 && e.Slots <= maxSlots},
		{"start time", e.StartUnixMilli >= 0 && e.StartUnixMilli <= maxStartUnixMilli},
	} {
		if !check.valid {
			return &InvalidEndpointError{Field: check.field}
		}
	}
	return nil
}

func isName(text string) bool { return text != "" && len(text) <= maxNameBytes }

// isHeaderValue reports whether requests can name the text in a header.
func isHeaderValue(text string) bool {
	for _, r := range text {
		if r > unicode.MaxASCII || !unicode.IsGraphic(r) || r == ' ' {
			return false
		}
	}
	return isName(text)
}
