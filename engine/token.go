package engine

import "github.com/go-faster/jx"

// tokenDecoder decodes token events without allocating. Its fields are valid until the
// next call of decode.
type tokenDecoder struct {
	decoder jx.Decoder
	// field is the method value decodeField, bound once to avoid an allocation per event.
	field   func(d *jx.Decoder, key []byte) error
	attempt []byte
	index   int
	text    []byte
}

func (t *tokenDecoder) init() { t.field = t.decodeField }

func (t *tokenDecoder) decode(data []byte) error {
	t.attempt, t.index, t.text = t.attempt[:0], -1, t.text[:0]
	t.decoder.ResetBytes(data)
	return t.decoder.ObjBytes(t.field)
}

func (t *tokenDecoder) decodeField(d *jx.Decoder, key []byte) (err error) {
	switch string(key) {
	case "attempt":
		t.attempt, err = d.StrAppend(t.attempt)
	case "index":
		t.index, err = d.Int()
	case "text":
		t.text, err = d.StrAppend(t.text)
	default:
		err = d.Skip()
	}
	return err
}

// AppendTokenEvent appends a token event in its wire format.
func AppendTokenEvent(dst []byte, token Token) []byte {
	var e jx.Encoder
	e.SetBytes(append(dst, "event: token\ndata: "...))
	e.ObjStart()
	e.FieldStart("attempt")
	e.Str(string(token.Attempt))
	e.FieldStart("index")
	e.Int(token.Index)
	e.FieldStart("text")
	e.Str(token.Text)
	e.ObjEnd()
	return append(e.Bytes(), "\n\n"...)
}
