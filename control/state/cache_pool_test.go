package state

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
)

const testGroup = 5

// putConfiguration applies a configuration and returns its pool.
func putConfiguration(s *State, number uint64, sharing, isolated []uint64) uint64 {
	s.Execute(number, &rpc.Command{Action: &rpc.Command_PutDocument{PutDocument: &rpc.PutDocument{
		Document: &rpc.Document{Name: "configuration", Number: number},
		Cache:    &rpc.CacheOrganisations{Sharing: sharing, Isolated: isolated},
	}}})
	return s.Document("configuration").GetCachePool()
}

func newGroup() *State {
	s := New(DefaultLimits())
	s.group = testGroup
	return s
}

// restarted returns the state of a replica that starts from a snapshot.
func restarted(t *testing.T, s *State) *State {
	data, err := s.Snapshot()
	assert.NilError(t, err)
	fresh := New(DefaultLimits())
	assert.NilError(t, fresh.Restore(data))
	return fresh
}

// Guards against cached prompts of an organisation that stay in use by others after it is isolated,
// also if it was removed, shared again or the replicas have started again in between.
func TestPoolHasNeverBeenSharedByIsolatedOrganisations(t *testing.T) {
	rng := rand.New(rand.NewPCG(68, 1))
	s, shared := newGroup(), map[uint64]map[uint64]bool{}
	for number := uint64(1); number < 2000; number++ {
		var sharing, isolated []uint64
		for organisation := range uint64(5) {
			switch rng.IntN(8) {
			case 0: // not in this configuration
			case 1:
				isolated = append(isolated, organisation)
			default:
				sharing = append(sharing, organisation)
			}
		}
		if rng.IntN(20) == 0 {
			s = restarted(t, s)
		}
		pool := putConfiguration(s, number, sharing, isolated)
		if shared[pool] == nil {
			shared[pool] = map[uint64]bool{}
		}
		for _, organisation := range isolated {
			assert.Assert(t, !shared[pool][organisation], "configuration %d", number)
		}
		for _, organisation := range sharing {
			shared[pool][organisation] = true
		}
	}
}

// Guards against prompts that are computed again after changes that concern no organisation in the pool.
func TestPoolStaysUnlessAMemberIsIsolated(t *testing.T) {
	s := newGroup()
	pool := putConfiguration(s, 1, []uint64{1, 2}, []uint64{3})
	for number, isolated := range [][]uint64{2: {3}, 3: {3, 4}, 4: {4}, 5: nil, 6: {5}} {
		if number < 2 {
			continue
		}
		assert.Equal(t, putConfiguration(s, uint64(number), []uint64{1, 2}, isolated), pool)
	}
	assert.Assert(t, putConfiguration(s, 7, []uint64{1}, []uint64{2}) != pool)
}

// Guards against an older configuration, which is not put in force, that replaces the pool.
func TestOlderConfigurationKeepsThePool(t *testing.T) {
	s := newGroup()
	pool := putConfiguration(s, 7, []uint64{1, 2}, nil)
	assert.Equal(t, putConfiguration(s, 6, []uint64{1}, []uint64{2}), pool)
	assert.Equal(t, putConfiguration(restarted(t, s), 8, []uint64{1, 2}, nil), pool)
}

// Guards against a pool that is used again after a restore of a backup, although its members since then
// are not known.
func TestRestoreOfABackupStartsAnotherPool(t *testing.T) {
	s := newGroup()
	pool := putConfiguration(s, 7, []uint64{1, 2}, nil)
	data, err := s.Snapshot()
	assert.NilError(t, err)
	recovered, err := Recover(data, RecoveryOptions{Group: testGroup + 1})
	assert.NilError(t, err)
	restored := New(DefaultLimits())
	assert.NilError(t, restored.Restore(recovered))
	first := restored.Document("configuration").GetCachePool()
	assert.Assert(t, first != pool && first != 0)
	assert.Assert(t, putConfiguration(restored, 8, []uint64{1, 2}, nil) != first)
}

// BenchmarkPool measures a configuration with the organisations of the target size.
func BenchmarkPool(b *testing.B) {
	var sharing []uint64
	for n := range uint64(8600) {
		sharing = append(sharing, n*0x9e3779b97f4a7c15)
	}
	put := &rpc.CacheOrganisations{Sharing: sharing}
	var pool cachePool
	for n := range b.N {
		pool.update(testGroup, uint64(n), put)
	}
	b.ReportMetric(float64(proto.Size(put)), "log-B")
	b.ReportMetric(float64(proto.Size(pool.save())), fmt.Sprintf("snapshot-B/%d", len(sharing)))
}
