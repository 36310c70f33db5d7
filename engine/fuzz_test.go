package engine

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/carawaystile/carawaystile/tables"
)

// A broken or hostile endpoint sends arbitrary bytes instead of events. The reader must
// terminate, and must never hold more of a line than its limit.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("event: token\ndata: {}\n\n"))
	f.Add([]byte(": heartbeat\n\nevent: done\r\ndata: {\"tokens\":1}\r\n\r\n"))
	f.Add([]byte("data: a\ndata: b\n\ndata"))
	f.Fuzz(func(t *testing.T, content []byte) {
		const limit = 64
		reader := newEventReader(bytes.NewReader(content), limit, func() {})
		defer reader.release()
		for events := 0; ; events++ {
			_, data, err := reader.next()
			if err != nil {
				return
			}
			if len(data) > limit {
				t.Fatalf("got an event of %d bytes, above the limit", len(data))
			}
			if events > len(content) {
				t.Fatal("got more events than input bytes")
			}
		}
	})
}

// Tokens are read by a hand-written decoder for speed. It must agree with encoding/json
// on every input that it accepts.
func FuzzToken(f *testing.F) {
	f.Add(AppendTokenEvent(nil, Token{Attempt: "a", Index: 3, Text: "x\"\n"}))
	f.Add([]byte(`{"attempt":"a","index":-1,"text":"","more":[1,{}]}`))
	f.Add([]byte(`{"index":1e3}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		var decoder tokenDecoder
		decoder.init()
		if decoder.decode(content) != nil {
			return
		}
		// A map keeps the exact names of the fields: encoding/json ignores case in structs.
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(content, &fields); err != nil {
			t.Skip("encoding/json is stricter")
		}
		index, text := -1, "" // a token without an index is never the expected one
		if json.Unmarshal(orNull(fields["index"]), &index) != nil || json.Unmarshal(orNull(fields["text"]), &text) != nil {
			t.Skip("encoding/json is stricter")
		}
		if decoder.index != index || string(decoder.text) != text {
			t.Fatalf("decoded %d %q, but encoding/json decoded %d %q from %s", decoder.index, decoder.text, index, text, content)
		}
	})
}

func orNull(value json.RawMessage) json.RawMessage {
	if value == nil {
		return json.RawMessage("null")
	}
	return value
}

// Cache events are also read by a hand-written decoder. What it reads must survive an
// encoding and a second decoding.
func FuzzCacheChanges(f *testing.F) {
	seed, err := json.Marshal(CacheChanges{Boot: "b", Changes: []CacheChange{
		{Sequence: 1, Stored: []tables.BlockHash{1, 1 << 63}, Evicted: []tables.BlockHash{2}},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte(`{"boot":"b","changes":[{"sequence":18446744073709551615}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		var changes CacheChanges
		if json.Unmarshal(content, &changes) != nil {
			return
		}
		again, err := json.Marshal(changes)
		if err != nil {
			t.Fatal(err)
		}
		var same CacheChanges
		if err := json.Unmarshal(again, &same); err != nil {
			t.Fatalf("%v when decoding %s", err, again)
		}
		if len(same.Changes) != len(changes.Changes) || same.Boot != changes.Boot {
			t.Fatalf("decoded %+v, then %+v after a round trip", changes, same)
		}
	})
}
