package streamorigin

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// memoryFile is a RecordFile that fails while err is set.
type memoryFile struct {
	records [][]byte
	err     error
}

func (f *memoryFile) Append(record []byte) error {
	if f.err == nil {
		f.records = append(f.records, record)
	}
	return f.err
}

func (f *memoryFile) Rotate() error { return f.err }

func startOfTime() tables.Instant { return time.Second }

// addArchive adds a control instance with an archive.
func (f *fakeInstances) addArchive(a *Archive) {
	f.asking.Lock()
	defer f.asking.Unlock()
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, 0, byte(len(f.archives))}), 1)
	f.archives = append(f.archives, membership.EntryInstance{Instance: tables.InstanceID(at.String()), Address: at, Control: at})
	f.archiveAt[at] = a
}

// restartEntries replaces all entry instances by new ones that know nothing.
func (f *fakeInstances) restartEntries() {
	f.asking.Lock()
	defer f.asking.Unlock()
	for _, entries := range f.zones {
		for _, e := range entries {
			f.directories[e.Control] = f.newDirectory(e)
		}
	}
}

// Guards against resumptions that are refused or mixed because all entry instances, or all processes,
// were killed.
func TestOriginsOutliveAllProcesses(t *testing.T) {
	for _, perZone := range []int{3, 85} {
		f := newFakeInstances(3, perZone)
		file := &memoryFile{}
		f.addArchive(NewArchive(file, nil, startOfTime, zap.NewNop()))
		f.addArchive(NewArchive(nil, nil, startOfTime, zap.NewNop()))
		first, other := f.zones["z0"][0].Control, f.zones["z1"][perZone-1].Control
		for n := range 100 {
			f.directories[first].Record(Origin{Request: fmt.Sprint("r", n), Software: "v1"}, false)
		}
		f.directories[first].SendToArchives()
		f.restartEntries()
		software, known := f.find(t, other, "r99")
		assert.Assert(t, known)
		assert.Equal(t, software, "v1")

		for _, archive := range f.archiveAt {
			if archive.file != nil {
				archive.Write()
			}
		}
		f.restartEntries()
		f.archives = nil
		_, known = f.find(t, other, "r99")
		assert.Assert(t, !known)
		f.addArchive(NewArchive(file, file.records, startOfTime, zap.NewNop()))
		software, known = f.find(t, other, "r99")
		assert.Assert(t, known)
		assert.Equal(t, software, "v1")
	}
}

// Guards against origins of streams that begin before any, or before each, control instance is known being
// unknown there.
func TestOriginsReachArchivesThatBecomeKnownLater(t *testing.T) {
	f := newFakeInstances(1, 1)
	first := f.directories[f.zones["z0"][0].Control]
	first.Record(Origin{Request: "r", Software: "v1"}, false)
	first.SendToArchives()
	archive := NewArchive(nil, nil, startOfTime, zap.NewNop())
	f.addArchive(archive)
	first.SendToArchives()
	_, known := archive.Find("r")
	assert.Assert(t, known)
	second := NewArchive(nil, nil, startOfTime, zap.NewNop())
	f.addArchive(second)
	first.SendToArchives()
	_, known = second.Find("r")
	assert.Assert(t, known)
	sent := f.sent
	first.SendToArchives()
	assert.Equal(t, f.sent, sent)
}

// Guards against an archive that forgets origins, or grows without bound, while its disk is full.
func TestArchiveWithFullDiskKeepsOriginsInMemory(t *testing.T) {
	file := &memoryFile{err: errors.New("no space left")}
	archive := NewArchive(file, nil, startOfTime, zap.NewNop())
	for n := range maxUnwritten + 10 {
		archive.Receive(&rpc.StreamOrigins{Origins: []*rpc.StreamOrigin{{Request: fmt.Sprint(n), Software: "v1"}}})
	}
	archive.Write()
	_, known := archive.Find(fmt.Sprint(maxUnwritten + 9))
	assert.Assert(t, known)
	file.err = nil
	archive.Receive(&rpc.StreamOrigins{Origins: []*rpc.StreamOrigin{{Request: "later", Software: "v1"}}})
	archive.Write()
	assert.Equal(t, len(file.records), 1)
}
