// Package follower keeps an instance's configuration up to date. It serves from
// the last accepted copy at once, asks control instances or any other instance
// for newer ones, and never goes back to an older one.
package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// pollWait is how long a source holds an answer back while it has nothing
	// new. A source that dies silently is noticed after it and pollSlack.
	pollWait  = 4 * time.Second
	pollSlack = time.Second
	// fullSlack is how long the whole content may take on its way. Another source
	// is asked for it as well after nextSource, and then after twice as long each
	// time up to maxNextSource: in a herd of restarts all sources are slow, and
	// asking them all would make them slower.
	fullSlack     = 20 * time.Second
	nextSource    = time.Second
	maxNextSource = 8 * time.Second
	// minPause and maxPause bound the random time between two tries after a
	// failure, so that instances that restart together do not ask together.
	minPause = 50 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// savedFile is the name of the copy in the data folder.
	savedFile = "configuration"
	// keptChanges is how many changes are kept to pass on to other instances.
	keptChanges = 64
)

// Source gives newer configurations; rpc.Control is one, and so is the Follower
// of another instance.
type Source interface {
	Watch(ctx context.Context, request *rpc.WatchRequest) (*rpc.WatchAnswer, error)
}

// FileStore keeps small files durably; *store.Folder is one.
type FileStore interface {
	ReadAtomic(name string) ([]byte, error)
	WriteAtomic(name string, data []byte) error
}

// Options sets a Follower up.
type Options struct {
	Instance tables.InstanceID
	Zone     tables.Zone
	// Sources returns whom to ask, the preferred first: control instances of the
	// own zone, those of the others, then some other instances.
	Sources func() []Source
	// Files keeps the last accepted copy; nil keeps none.
	Files FileStore
	// OnConfiguration puts a configuration in force. It is called by one goroutine at
	// a time, with revisions that only grow.
	OnConfiguration func(*tables.Configuration)
	// WallClock is the clock that people read; nil means time.Now.
	WallClock func() time.Time
	Log       *zap.Logger
}

// Follower follows the configuration. It is safe for concurrent use.
type Follower struct {
	options Options
	stop    context.CancelFunc
	running sync.WaitGroup
	ready   chan struct{}

	// fetching is set while FetchNewer asks.
	fetching atomic.Bool
	// takes is held while a newer configuration is saved and put in force.
	takes sync.Mutex

	mu       sync.Mutex
	revision uint64
	since    time.Time
	content  *configuration.Content
	changes  []change
	changed  chan struct{}
}

// change leads from one revision to a later one.
type change struct {
	from, to uint64
	items    []*rpc.Item
}

// DigestMismatchError means that a copy does not have the digest of its revision: a
// change was lost on the way.
type DigestMismatchError struct {
	Revision  uint64
	Want, Got uint64
}

// Error gives both digests.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("revision %d has digest %x, want %x", e.Revision, e.Got, e.Want)
}

// Start puts the saved copy in force, if there is one, and follows from there.
func Start(options Options) *Follower {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.WallClock == nil {
		options.WallClock = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		options: options,
		stop:    cancel,
		ready:   make(chan struct{}),
		content: configuration.NewContent(nil),
		changed: make(chan struct{}),
	}
	f.loadSaved()
	f.running.Go(func() { f.run(ctx) })
	return f
}

// Close stops following.
func (f *Follower) Close() {
	f.stop()
	f.running.Wait()
}

// Ready is closed once a configuration is in force.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// RevisionInForce returns the revision in force and since when, zero for none.
func (f *Follower) RevisionInForce() (tables.Revision, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return tables.Revision(f.revision), f.since
}

// loadSaved puts the copy of the former process in force.
func (f *Follower) loadSaved() {
	if f.options.Files == nil {
		return
	}
	data, err := f.options.Files.ReadAtomic(savedFile)
	if err != nil {
		if !isMissing(err) {
			events.FollowerCopyUnusable.Log(f.options.Log, zap.Error(err))
		}
		return
	}
	saved := &rpc.InstanceSaved{}
	if err := proto.Unmarshal(data, saved); err != nil {
		events.FollowerCopyUnusable.Log(f.options.Log, zap.Error(err))
		return
	}
	answer := &rpc.WatchAnswer{
		Revision: saved.GetRevision(),
		Digest:   saved.GetDigest(),
		Full:     true,
		Items:    saved.GetItems(),
	}
	if err := f.take(answer, 0, false); err != nil {
		events.FollowerCopyUnusable.Log(f.options.Log, zap.Error(err))
	}
}

// first asks for the whole content until there is one. A source that does not
// answer holds nothing up: the next one is asked as well after a short time. An
// instance that has no copy can serve nobody before this is over.
func (f *Follower) first(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := nextSource
	for at := 0; ; at++ {
		answered := make(chan struct{})
		if sources := f.options.Sources(); len(sources) > 0 {
			source := sources[at%len(sources)]
			f.running.Go(func() {
				defer close(answered)
				_ = f.Fetch(ctx, source, 0)
			})
		}
		timer := time.NewTimer(wait + rand.N(wait/2))
		select {
		case <-f.ready:
		case <-ctx.Done():
		case <-answered:
			pause(ctx)
		case <-timer.C:
			wait = min(2*wait, maxNextSource)
		}
		timer.Stop()
		if revision, _ := f.RevisionInForce(); revision > 0 || ctx.Err() != nil {
			return
		}
	}
}

// run asks one source after the other, staying with one that answers.
func (f *Follower) run(ctx context.Context) {
	f.first(ctx)
	at, failed := 0, 0
	for ctx.Err() == nil {
		sources := f.options.Sources()
		if len(sources) == 0 {
			pause(ctx)
			continue
		}
		err := f.Fetch(ctx, sources[at%len(sources)], pollWait)
		if err == nil {
			failed = 0
			continue
		}
		at++
		failed++
		if failed == len(sources) && ctx.Err() == nil {
			events.FollowerBehind.Log(f.options.Log, zap.Error(err))
		}
		pause(ctx)
	}
}

// FetchNewer asks an instance that was seen to have a newer revision. It does
// nothing while an earlier call still asks, or while this instance has no copy
// yet: many instances tell of a revision at once, and each answer could be the
// whole content.
func (f *Follower) FetchNewer(ctx context.Context, source Source) error {
	if revision, _ := f.RevisionInForce(); revision == 0 || !f.fetching.CompareAndSwap(false, true) {
		return nil
	}
	defer f.fetching.Store(false)
	return f.Fetch(ctx, source, 0)
}

// Fetch asks one source, which may wait for something new, and takes what it
// has.
func (f *Follower) Fetch(ctx context.Context, source Source, wait time.Duration) error {
	have, _ := f.RevisionInForce()
	answer, err := f.ask(ctx, source, uint64(have), wait)
	if err != nil {
		return trace.Wrap(err)
	}
	err = f.take(answer, uint64(have), true)
	if err == nil {
		return nil
	}
	if answer, err = f.ask(ctx, source, 0, 0); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(f.take(answer, 0, true))
}

func (f *Follower) ask(ctx context.Context, source Source, have uint64, wait time.Duration) (*rpc.WatchAnswer, error) {
	slack := pollSlack
	if have == 0 {
		slack = fullSlack
	}
	bounded, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	return source.Watch(bounded, &rpc.WatchRequest{
		Instance:  string(f.options.Instance),
		Zone:      string(f.options.Zone),
		Revision:  have,
		WaitNanos: int64(wait),
	})
}

// take puts the answer in force if it is newer, and saves it first.
//
// If it were in force before it is durable, a crash in between would bring the
// instance back with an older configuration than it had served.
func (f *Follower) take(answer *rpc.WatchAnswer, from uint64, save bool) error {
	f.takes.Lock()
	defer f.takes.Unlock()
	f.mu.Lock()
	current, content := f.revision, f.content
	f.mu.Unlock()
	if answer.GetRevision() <= current {
		return nil
	}
	if !answer.GetFull() && from != current {
		// Another source was quicker; these changes start from an older copy.
		return nil
	}
	if answer.GetFull() {
		content = configuration.NewContent(answer.GetItems())
	} else {
		content = content.Clone()
		content.Apply(answer.GetItems())
	}
	if content.Digest() != answer.GetDigest() {
		return trace.Wrap(&DigestMismatchError{Revision: answer.GetRevision(), Want: answer.GetDigest(), Got: content.Digest()})
	}
	decoded, err := content.Decode(tables.Revision(answer.GetRevision()))
	if err != nil {
		return trace.Wrap(err)
	}
	if save {
		f.save(answer.GetRevision(), content)
	}
	f.options.OnConfiguration(&decoded)
	f.put(answer, current, content)
	return nil
}

func (f *Follower) put(answer *rpc.WatchAnswer, from uint64, content *configuration.Content) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision == 0 {
		close(f.ready)
	}
	f.revision = answer.GetRevision()
	f.since = f.options.WallClock()
	f.content = content
	if answer.GetFull() {
		f.changes = nil
	} else {
		f.changes = append(f.changes, change{from: from, to: answer.GetRevision(), items: answer.GetItems()})
	}
	if len(f.changes) > keptChanges {
		f.changes = f.changes[1:]
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// save keeps the copy for the next process. A failure does not keep the
// revision out of force: callers are better served by it than by an older one.
func (f *Follower) save(revision uint64, content *configuration.Content) {
	if f.options.Files == nil {
		return
	}
	data, err := proto.Marshal(&rpc.InstanceSaved{
		Revision: revision,
		Digest:   content.Digest(),
		Items:    content.Items(),
	})
	if err == nil {
		err = f.options.Files.WriteAtomic(savedFile, data)
	}
	if err != nil {
		events.FollowerNotSaved.Log(f.options.Log, zap.Error(err))
	}
}

// pause waits a random time.
func pause(ctx context.Context) {
	timer := time.NewTimer(minPause + rand.N(maxPause-minPause))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
