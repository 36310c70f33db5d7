package streamorigin

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// writeInterval is the interval at which new origins are written to the disk. A loss of power loses
	// those that are not written yet.
	writeInterval = 500 * time.Millisecond
	// maxArchived bounds the origins of one generation in an archive, which has those of all entry
	// instances, and maxUnwritten those that wait for the disk.
	maxArchived  = 1 << 17
	maxUnwritten = 1 << 15
)

// RecordFile holds the records of an archive on disk. *store.Journal implements it.
type RecordFile interface {
	// Append adds a record and returns once it is durable.
	Append(record []byte) error
	// Rotate drops all records that were added before the previous call.
	Rotate() error
}

// Archive holds the origins of streams at a control instance, so that they are still known after all
// entry instances have ended. It keeps them on disk too, for the case that all control instances end
// as well. It is safe for concurrent use.
type Archive struct {
	file  RecordFile
	now   func() tables.Instant
	log   *zap.Logger
	table Table

	mu        sync.Mutex
	unwritten []*rpc.StreamOrigin
	// failing is set while the disk does not accept records.
	failing bool
}

// NewArchive returns an archive with the origins of earlier records, which may be incomplete. A nil
// file keeps origins in memory only.
func NewArchive(file RecordFile, records [][]byte, now func() tables.Instant, log *zap.Logger) *Archive {
	a := &Archive{file: file, now: now, log: log, table: Table{maxGeneration: maxArchived}}
	for _, record := range records {
		message := &rpc.StreamOrigins{}
		if err := proto.Unmarshal(record, message); err != nil {
			events.StreamOriginsUnreadable.Log(log, zap.Error(err))
			continue
		}
		a.record(message)
	}
	return a
}

func (a *Archive) record(message *rpc.StreamOrigins) {
	for _, o := range message.GetOrigins() {
		a.table.Record(a.now(), Origin{Request: o.GetRequest(), Software: o.GetSoftware()})
	}
}

// Receive records the origins that an entry instance has sent.
func (a *Archive) Receive(message *rpc.StreamOrigins) {
	identifyAll(message.GetOrigins())
	a.record(message)
	if a.file == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	free := max(0, maxUnwritten-len(a.unwritten))
	a.unwritten = append(a.unwritten, message.GetOrigins()[:min(free, len(message.GetOrigins()))]...)
}

// Find returns the version that began a request's stream if it is known.
func (a *Archive) Find(request string) (software string, known bool) { return a.table.Find(request) }

// Run writes new origins to the disk until the context ends.
func (a *Archive) Run(ctx context.Context) {
	if a.file == nil {
		return
	}
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	rotatedAt := a.now()
	for {
		select {
		case <-ctx.Done():
			a.Write()
			return
		case <-ticker.C:
		}
		a.Write()
		if now := a.now(); now-rotatedAt >= generationAge {
			rotatedAt = now
			a.logResult(a.file.Rotate())
		}
	}
}

// Write writes the origins that are not on the disk yet. Those that the disk does not accept stay in
// memory and are not written again, because a disk that fails would get more with each attempt.
func (a *Archive) Write() {
	a.mu.Lock()
	batch := a.unwritten
	a.unwritten = nil
	a.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	record, err := proto.Marshal(&rpc.StreamOrigins{Origins: batch})
	if err == nil {
		err = a.file.Append(record)
	}
	a.logResult(err)
}

// logResult logs when the disk stops accepting records and when it accepts them again.
func (a *Archive) logResult(err error) {
	a.mu.Lock()
	changed := a.failing != (err != nil)
	a.failing = err != nil
	a.mu.Unlock()
	switch {
	case err != nil && changed:
		events.StreamOriginsNotWritten.Log(a.log, zap.Error(trace.Wrap(err)))
	case err == nil && changed:
		events.StreamOriginsWritten.Log(a.log)
	}
}
