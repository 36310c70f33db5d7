package deployment

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/internal/readlimit"
	"github.com/carawaystile/carawaystile/rpc"
)

// minCompressedBytes is the size from which on a document is compressed. Smaller
// documents fit into one or two packets.
const minCompressedBytes = 2 << 10

// maxDecompressedBytes bounds the size of a document after decompression. It
// exceeds the size that operators may send.
const maxDecompressedBytes = 16 << 20

// documentCompressor compresses documents for followers, with a cache of the newest
// compressed content of each document. Each change sends the whole document to
// every follower. Over a slow link, the largest document would exceed the timeout
// of an answer; the follower would switch to another source, start again and never
// receive it. Routes and organisations are repetitive and compress to a tenth.
//
// Each version of a document is compressed once. A documentCompressor is safe for
// concurrent use.
type documentCompressor struct {
	mu    sync.Mutex
	cache map[string]compressedDocument
}

// compressedDocument is the compressed content of one version of a document.
type compressedDocument struct {
	number  uint64
	content []byte
}

// addDocument adds a document to an answer, compressed if that is worthwhile.
func (c *documentCompressor) addDocument(answer *rpc.FollowAnswer, document *rpc.Document) {
	content := c.compressDocument(document)
	if content == nil {
		answer.Documents = append(answer.Documents, document)
		return
	}
	answer.Documents = append(answer.Documents, &rpc.Document{Name: document.GetName(), Number: document.GetNumber(), CachePool: document.GetCachePool()})
	if answer.Packed == nil {
		answer.Packed = map[string][]byte{}
	}
	answer.Packed[document.GetName()] = content
}

// compressDocument returns the compressed content, nil if the document is to be
// sent uncompressed.
func (c *documentCompressor) compressDocument(document *rpc.Document) []byte {
	if len(document.GetContent()) < minCompressedBytes {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.cache[document.GetName()]; ok && known.number == document.GetNumber() {
		return known.content
	}
	content, err := gzipCompress(document.GetContent())
	if err != nil {
		return nil // writes to a buffer do not fail; if one did, the document would be sent uncompressed
	}
	if c.cache == nil {
		c.cache = map[string]compressedDocument{}
	}
	c.cache[document.GetName()] = compressedDocument{number: document.GetNumber(), content: content}
	return content
}

func gzipCompress(content []byte) ([]byte, error) {
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

// decompressDocuments restores the contents of the documents in an answer. If it
// fails, the answer must be discarded.
func decompressDocuments(answer *rpc.FollowAnswer) error {
	for _, document := range answer.GetDocuments() {
		packed, ok := answer.GetPacked()[document.GetName()]
		if !ok {
			continue
		}
		content, err := gzipDecompress(packed)
		if err != nil {
			return err
		}
		document.Content = content
	}
	return nil
}

func gzipDecompress(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	content, err := io.ReadAll(readlimit.NewReader(reader, "decompressed document", maxDecompressedBytes))
	return content, trace.Wrap(err)
}
