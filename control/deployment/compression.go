package deployment

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/rpc"
)

// minPacked is the size in bytes from which on a document is compressed. Smaller
// ones fit into a packet or two.
const minPacked = 2 << 10

// maxUnpacked bounds the size in bytes of a document that is taken. It is above what
// operators may send.
const maxUnpacked = 64 << 20

// DocumentTooLargeError means that a document is larger than an instance takes.
type DocumentTooLargeError struct{ Limit int }

// Error names the limit.
func (*DocumentTooLargeError) Error() string { return "the document is too large" }

// packer compresses documents for followers. Each change sends the whole document to
// every one of them: over a slow link an operator's largest document would take
// longer than the answer may, the follower would give its source up and begin anew,
// and never have it. Routes and organisations repeat themselves and shrink to a tenth.
//
// Each number of a document is compressed once. A packer is safe for concurrent use.
type packer struct {
	mu     sync.Mutex
	packed map[string]packedDocument
}

type packedDocument struct {
	number  uint64
	content []byte
}

// add puts a document into an answer.
func (p *packer) add(answer *rpc.FollowAnswer, document *rpc.Document) {
	content := p.pack(document)
	if content == nil {
		answer.Documents = append(answer.Documents, document)
		return
	}
	answer.Documents = append(answer.Documents, &rpc.Document{Name: document.GetName(), Number: document.GetNumber()})
	if answer.Packed == nil {
		answer.Packed = map[string][]byte{}
	}
	answer.Packed[document.GetName()] = content
}

// pack returns the compressed content, nil if the document goes as it is.
func (p *packer) pack(document *rpc.Document) []byte {
	if len(document.GetContent()) < minPacked {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.packed[document.GetName()]; ok && known.number == document.GetNumber() {
		return known.content
	}
	content, err := compressed(document.GetContent())
	if err != nil {
		return nil // a buffer takes every write; if not, the document goes as it is
	}
	if p.packed == nil {
		p.packed = map[string]packedDocument{}
	}
	p.packed[document.GetName()] = packedDocument{number: document.GetNumber(), content: content}
	return content
}

func compressed(content []byte) ([]byte, error) {
	var out bytes.Buffer
	writer, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := writer.Write(content); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}

// unpack gives the documents of an answer their contents. It fails if one cannot be
// read; the answer must not be used then.
func unpack(answer *rpc.FollowAnswer) error {
	for _, document := range answer.GetDocuments() {
		packed, ok := answer.GetPacked()[document.GetName()]
		if !ok {
			continue
		}
		content, err := uncompressed(packed)
		if err != nil {
			return err
		}
		document.Content = content
	}
	return nil
}

func uncompressed(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxUnpacked+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(content) > maxUnpacked {
		return nil, trace.Wrap(&DocumentTooLargeError{Limit: maxUnpacked})
	}
	return content, nil
}
