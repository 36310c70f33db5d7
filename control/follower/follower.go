// Package follower keeps the configuration of an instance up to date. A follower
// applies its cached copy at startup, then long-polls control instances, or other
// instances if those are unreachable, for newer revisions. Revisions are applied in
// increasing order only.
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
	// longPollWait is the duration of a long poll: a source without a newer
	// revision replies after it. A source that fails silently is detected after
	// the sum of longPollWait and longPollGrace.
	longPollWait  = 4 * time.Second
	longPollGrace = time.Second
	// fullFetchTimeout bounds the transfer of the complete configuration. The
	// initial fetch is hedged: the next source is asked as well after
	// initialHedgeDelay, and the delay doubles up to maxHedgeDelay. When many
	// instances restart at once all sources are slow, and asking all of them would
	// make them slower.
	fullFetchTimeout  = 20 * time.Second
	initialHedgeDelay = time.Second
	maxHedgeDelay     = 8 * time.Second
	// minRetryDelay and maxRetryDelay bound the random delay before a retry, so
	// that instances that restart together do not send their requests together.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// cacheFileName is the name of the cached copy in the data folder.
	cacheFileName = "configuration"
	// maxRetainedChanges is how many incremental changes are retained for relaying
	// to other instances.
	maxRetainedChanges = 64
)

// Source is a source of newer configurations: a control instance, or the Relay of
// another instance.
type Source interface {
	Watch(ctx context.Context, request *rpc.WatchRequest) (*rpc.WatchAnswer, error)
}

// FileStore stores small files durably and atomically. *store.DataDir implements it.
type FileStore interface {
	ReadAtomic(name string) ([]byte, error)
	WriteAtomic(name string, data []byte) error
}

// Options configures a Follower.
type Options struct {
	Instance tables.InstanceID
	Zone     tables.Zone
	// Sources returns the sources in order of preference: control instances of the
	// own availability zone, other control instances, then some other instances.
	Sources func() []Source
	// Files stores the cached copy of the last applied configuration; nil disables
	// the cache.
	Files FileStore
	// OnConfiguration applies a configuration. Calls do not overlap, and their
	// revisions increase.
	OnConfiguration func(*tables.Configuration)
	// WallClock returns the time that status reports show; nil means time.Now.
	WallClock func() time.Time
	Log       *zap.Logger
}

// Follower is a long-polling client that replicates the configuration to this
// instance, with a durable local cache. It is safe for concurrent use.
type Follower struct {
	options Options
	cancel  context.CancelFunc
	running sync.WaitGroup
	ready   chan struct{}

	// isFetchingNewer is true while a call of FetchNewer is in progress.
	isFetchingNewer atomic.Bool
	// installMu serialises the installation of newer configurations.
	installMu sync.Mutex

	mu       sync.Mutex
	revision uint64
	since    time.Time
	content  *configuration.Content
	changes  []revisionChange
	changed  chan struct{}
}

// revisionChange is an incremental change between two revisions.
type revisionChange struct {
	from, to uint64
	items    []*rpc.Item
}

// DigestMismatchError means that the content does not have the digest of its
// revision: a change was lost in transfer.
type DigestMismatchError struct {
	Revision  uint64
	Want, Got uint64
}

// Error returns both digests.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("revision %d has digest %x, want %x", e.Revision, e.Got, e.Want)
}

// Start applies the cached copy, if there is one, and starts polling for newer
// revisions.
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
		cancel:  cancel,
		ready:   make(chan struct{}),
		content: configuration.NewContent(nil),
		changed: make(chan struct{}),
	}
	f.loadCachedCopy()
	f.running.Go(func() { f.run(ctx) })
	return f
}

// Close stops polling and waits for requests in progress to end.
func (f *Follower) Close() {
	f.cancel()
	f.running.Wait()
}

// Ready returns a channel that is closed once a configuration has been applied.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// RevisionInForce returns the applied revision and when it was applied. The
// revision is zero if there is none.
func (f *Follower) RevisionInForce() (tables.Revision, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return tables.Revision(f.revision), f.since
}

// loadCachedCopy applies the copy that an earlier process has cached.
func (f *Follower) loadCachedCopy() {
	if f.options.Files == nil {
		return
	}
	data, err := f.options.Files.ReadAtomic(cacheFileName)
	if err != nil {
		if !isFileMissing(err) {
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
	if err := f.install(answer, 0, false); err != nil {
		events.FollowerCopyUnusable.Log(f.options.Log, zap.Error(err))
	}
}

// fetchInitial fetches the complete configuration, unless a cached copy was
// applied. Requests are hedged, so that an unresponsive source delays the start
// only briefly: an instance without a configuration cannot serve requests.
func (f *Follower) fetchInitial(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hedgeDelay := initialHedgeDelay
	for attempt := 0; ; attempt++ {
		answered := make(chan struct{})
		if sources := f.options.Sources(); len(sources) > 0 {
			source := sources[attempt%len(sources)]
			f.running.Go(func() {
				defer close(answered)
				_ = f.Fetch(ctx, source, 0)
			})
		}
		timer := time.NewTimer(hedgeDelay + rand.N(hedgeDelay/2))
		select {
		case <-f.ready:
		case <-ctx.Done():
		case <-answered:
			sleepRetryDelay(ctx)
		case <-timer.C:
			hedgeDelay = min(2*hedgeDelay, maxHedgeDelay)
		}
		timer.Stop()
		if revision, _ := f.RevisionInForce(); revision > 0 || ctx.Err() != nil {
			return
		}
	}
}

// run long-polls a source for as long as it responds, and moves on to the next one
// after a failure.
func (f *Follower) run(ctx context.Context) {
	f.fetchInitial(ctx)
	index, failures := 0, 0
	for ctx.Err() == nil {
		sources := f.options.Sources()
		if len(sources) == 0 {
			sleepRetryDelay(ctx)
			continue
		}
		err := f.Fetch(ctx, sources[index%len(sources)], longPollWait)
		if err == nil {
			failures = 0
			continue
		}
		index++
		failures++
		if failures == len(sources) && ctx.Err() == nil {
			events.FollowerDisconnected.Log(f.options.Log, zap.Error(err))
		}
		sleepRetryDelay(ctx)
	}
}

// FetchNewer fetches from an instance that has advertised a newer revision. It does
// nothing while an earlier call is in progress, or while this instance has no
// configuration: many instances advertise a revision at once, and each reply could
// be the complete configuration.
func (f *Follower) FetchNewer(ctx context.Context, source Source) error {
	if revision, _ := f.RevisionInForce(); revision == 0 || !f.isFetchingNewer.CompareAndSwap(false, true) {
		return nil
	}
	defer f.isFetchingNewer.Store(false)
	return f.Fetch(ctx, source, 0)
}

// Fetch requests a newer configuration from one source, which may delay its reply
// for wait until there is one, and installs it. If an incremental change cannot be
// installed, Fetch requests the complete configuration.
func (f *Follower) Fetch(ctx context.Context, source Source, wait time.Duration) error {
	current, _ := f.RevisionInForce()
	answer, err := f.requestWatch(ctx, source, uint64(current), wait)
	if err != nil {
		return trace.Wrap(err)
	}
	err = f.install(answer, uint64(current), true)
	if err == nil {
		return nil
	}
	if answer, err = f.requestWatch(ctx, source, 0, 0); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(f.install(answer, 0, true))
}

// requestWatch sends one request. A revision of zero requests the complete
// configuration, which gets a longer timeout.
func (f *Follower) requestWatch(ctx context.Context, source Source, have uint64, wait time.Duration) (*rpc.WatchAnswer, error) {
	timeout := longPollGrace
	if have == 0 {
		timeout = fullFetchTimeout
	}
	pollContext, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	return source.Watch(pollContext, &rpc.WatchRequest{
		Instance:  string(f.options.Instance),
		Zone:      string(f.options.Zone),
		Revision:  have,
		WaitNanos: int64(wait),
	})
}

// install applies a received configuration if it is newer than the current one,
// after writing it to the cache.
//
// The write comes first: if a crash occurred between applying and writing, the
// restarted instance would serve an older configuration than before.
func (f *Follower) install(answer *rpc.WatchAnswer, from uint64, save bool) error {
	f.installMu.Lock()
	defer f.installMu.Unlock()
	f.mu.Lock()
	current, content := f.revision, f.content
	f.mu.Unlock()
	if answer.GetRevision() <= current {
		return nil
	}
	if !answer.GetFull() && from != current {
		// Another source was faster: the change is based on an older revision.
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
		f.saveCopy(answer.GetRevision(), content)
	}
	f.options.OnConfiguration(&decoded)
	f.publish(answer, current, content)
	return nil
}

// publish makes the configuration the current one, retains the change for relaying
// and wakes waiting Watch calls.
func (f *Follower) publish(answer *rpc.WatchAnswer, from uint64, content *configuration.Content) {
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
		f.changes = append(f.changes, revisionChange{from: from, to: answer.GetRevision(), items: answer.GetItems()})
	}
	if len(f.changes) > maxRetainedChanges {
		f.changes = f.changes[1:]
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// saveCopy writes the configuration to the cache for the next process. After a
// failed write the revision is applied nevertheless: requests are better served
// with it than with an older one.
func (f *Follower) saveCopy(revision uint64, content *configuration.Content) {
	if f.options.Files == nil {
		return
	}
	data, err := proto.Marshal(&rpc.InstanceSaved{
		Revision: revision,
		Digest:   content.Digest(),
		Items:    content.Items(),
	})
	if err == nil {
		err = f.options.Files.WriteAtomic(cacheFileName, data)
	}
	if err != nil {
		events.FollowerNotSaved.Log(f.options.Log, zap.Error(err))
	}
}

// sleepRetryDelay waits for a random delay before a retry.
func sleepRetryDelay(ctx context.Context) {
	timer := time.NewTimer(minRetryDelay + rand.N(maxRetryDelay-minRetryDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
