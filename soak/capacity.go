package soak

import (
	"context"
	_ "embed"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/routes"
)

const (
	// capacityFaultWeight is how often the names of the capacity faults are in the list that a
	// plan draws from. They are about a third of the faults then.
	capacityFaultWeight = 5
	// capacityShare is one in how many seeds without a stored plan enables the decisions.
	capacityShare = 4

	// Callers of an entry instance, slots and times of engines, and their memory in tokens. The
	// callers need more slots than there are once engines are slowed down, have crashed or serve
	// slow readers. With 10 slots they do all the time: more attempts were declined than completed,
	// and the retry budget was used up, whose cause is not established. A tenth of the memory,
	// which copies may occupy, holds several of the longest requests.
	contendedCallers = 12
	contendedSlots   = 16
	contendedTime    = 60 * time.Millisecond // to the first event, and between two events
	contendedTokens  = 400_000
	copyTTL          = 3 * time.Second
	// contendedOnceTokens are those of streams that may not be resumed. They run long enough to
	// show that a run goes on for 400 ms after it was continued elsewhere.
	contendedOnceTokens = "9000,16"
	// contendedTimeout is the time within which a request must be answered, and streamTimeout that
	// of a stream, which ends with it. The longest streams take 2.4 s at the least slowdown and
	// end in time up to about 6 times the usual time. With shorter intervals between events they
	// would not run for 400 ms after they were continued.
	contendedTimeout = 2 * time.Second
	streamTimeout    = 6 * time.Second

	// Slowdowns in percent, and how many endpoints are slowed down at once at most.
	leastSlowdown, mostSlowdown, mostSlowed = 250, 1000, 4

	// A caller that reads slowly reads slowReadBytes each slowReadInterval. Its stream has
	// slowReaderTokens events, more than fits into the buffers of a connection.
	slowReaders                  = 8
	slowReaderTokens             = "800,24"
	slowReadBytes, receiveBuffer = 4 << 10, 8 << 10
	slowReadInterval             = 100 * time.Millisecond
)

// capacityFaults lists the faults that runs with capacity decisions draw beside those of every
// run, each with its weight. Runs are continued only after endpoints have crashed, and must not be
// after a connection has broken at the instance while the endpoint goes on.
func capacityFaults() []string {
	names := []string{"endpoints are slowed down", "callers read slowly", "connections are reset at one end", "crash an endpoint"}
	return slices.Repeat(names, capacityFaultWeight)
}

//go:embed testdata/seeds.txt
var storedSeeds string

// DrawsCapacity reports whether a run of the seed enables the capacity decisions if nothing else
// is asked for. Runs of stored seeds don't.
func DrawsCapacity(seed uint64) bool {
	stored := strings.Contains("\n"+storedSeeds, "\n"+strconv.FormatUint(seed, 10)+" ")
	return !stored && rand.New(rand.NewPCG(seed, 6)).IntN(capacityShare) == 0
}

// competeForCapacity changes the options of an endpoint so that requests wait for it, and that
// it reports its slowdown and makes copies of runs. Its proxy refuses connections once the process
// has ended, which is the only evidence of its end.
func (d *deployment) competeForCapacity(o *platformtest.Options) (err error) {
	o.ReportsSlowdown = true
	if o.Model != "" {
		o.Slots, o.BackupTTL, o.ServiceTime, o.EventInterval = contendedSlots, copyTTL, contendedTime, contendedTime
	}
	o.OnExit, err = d.network.CarryUntil(o.Address, o.Listen)
	return err
}

// declareBackups configures a service whose engines compete for capacity and back runs up.
func declareBackups(s *routes.Service) {
	s.Slots, s.KVCapacityTokens = contendedSlots, contendedTokens
	s.Backups, s.BackupTTL = true, copyTTL
}

// contendedTimeout is the deadline of requests of a kind in runs with capacity decisions.
func (k *kind) contendedTimeout() time.Duration {
	if k.route.Inference {
		return streamTimeout
	}
	return contendedTimeout
}

// slowDownEndpoints slows some endpoints down, each by an amount of its own.
func slowDownEndpoints(s *strike) {
	for range 1 + s.rng.IntN(mostSlowed) {
		e := s.d.places.endpoint(s.place())
		e.SetSlowdown(leastSlowdown + s.rng.IntN(mostSlowdown-leastSlowdown+1))
		defer e.SetSlowdown(0)
	}
	s.wait()
}

// readSlowly adds callers at one instance that read long streams slowly.
func readSlowly(s *strike) {
	entry, until := s.entry(), time.Now().Add(s.long)
	var readers sync.WaitGroup
	for range slowReaders {
		r := s.load.ask(s.rng, entry)
		for !r.kind.route.Inference {
			r = s.load.ask(s.rng, entry)
		}
		r.ID, r.Tokens = platformtest.WidePrefix+r.ID, slowReaderTokens
		readers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), s.load.wait(r))
			defer cancel()
			client := newCaller()
			client.Transport.(*http.Transport).DialContext = dialSlow(until)
			s.load.exchange(ctx, client, r, false)
			client.CloseIdleConnections()
		})
	}
	readers.Wait()
}

// slowConn is a connection that is read slowly until a moment.
type slowConn struct {
	*net.TCPConn
	until time.Time
}

func dialSlow(until time.Time) func(ctx context.Context, network, to string) (net.Conn, error) {
	return func(ctx context.Context, network, to string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, to)
		if err != nil {
			return nil, err
		}
		c := slowConn{conn.(*net.TCPConn), until}
		return c, c.SetReadBuffer(receiveBuffer)
	}
}

func (c slowConn) Read(p []byte) (int, error) {
	if time.Now().Before(c.until) {
		time.Sleep(slowReadInterval)
		p = p[:min(len(p), slowReadBytes)]
	}
	return c.TCPConn.Read(p)
}
