package streamorigin

import (
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
)

// longID returns an ID of a stream that is as long as a header may be.
func longID(n int) string { return fmt.Sprintf("%015000d", n) }

// storedBytes returns the bytes of the IDs in a table.
func storedBytes(t *Table) (bytes int) {
	for _, o := range t.All() {
		bytes += len(o.Request)
	}
	return bytes
}

// Guards against an instance that runs out of memory since callers choose long IDs for their streams.
func TestLongIDsOfStreamsTakeLittleMemory(t *testing.T) {
	const streams = 1000
	f := newFakeInstances(3, 2)
	file := &memoryFile{}
	archive := NewArchive(file, nil, startOfTime, zap.NewNop())
	f.addArchive(archive)
	at := f.zones["z0"][0].Control
	for n := range streams {
		f.directories[at].Record(Origin{Request: longID(n), Software: "v1"}, true)
	}
	for _, o := range f.directories[at].unsent {
		assert.Assert(t, len(o.Request) <= maxRequestIDBytes)
	}
	f.directories[at].SendToArchives()
	archive.Write()
	for _, d := range f.directories {
		assert.Assert(t, storedBytes(&d.table) <= streams*maxRequestIDBytes)
	}
	assert.Assert(t, storedBytes(&archive.table) <= streams*maxRequestIDBytes)
	written := 0
	for _, record := range file.records {
		written += len(record)
	}
	assert.Assert(t, written <= streams*2*maxRequestIDBytes, "%d bytes on the disk", written)
	f.restartEntries()
	for _, n := range []int{0, streams - 1} {
		found := f.directories[f.zones["z1"][0].Control].Find(t.Context(), longID(n), "s")
		assert.Assert(t, found.Known && found.Software == "v1")
	}
	assert.Assert(t, !f.directories[at].Find(t.Context(), longID(streams), "s").Known)
}

// Guards against long IDs that an instance of an earlier version sends to an archive.
func TestArchiveShortensIDsThatItReceives(t *testing.T) {
	archive := NewArchive(&memoryFile{}, nil, startOfTime, zap.NewNop())
	archive.Receive(&rpc.StreamOrigins{Origins: []*rpc.StreamOrigin{{Request: longID(1), Software: "v1"}}})
	assert.Assert(t, len(archive.unwritten[0].GetRequest()) <= maxRequestIDBytes)
	software, known := archive.Find(longID(1))
	assert.Assert(t, known && software == "v1")
}

// Guards against an ID that is no text and fails a message that has those of other streams too.
func TestIDsThatAreNoTextAreReplaced(t *testing.T) {
	for _, request := range []string{"\xff", strings.Repeat("\xff", 100)} {
		assert.Assert(t, identify(request) != request)
		assert.Equal(t, identify(identify(request)), identify(request))
	}
	assert.Equal(t, identify("9c41d07be2a35f68"), "9c41d07be2a35f68")
	assert.Equal(t, identify(""), "")
}
