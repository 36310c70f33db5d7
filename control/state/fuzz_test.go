package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
)

// newPopulatedHarness returns a harness whose state has a row of each kind.
func newPopulatedHarness(t assert.TestingT) *harness {
	w := newHarness()
	w.run(w.applyCommand("ama", "r", 0, contentOf(t, "a")))
	w.changeLife("leave", false, 0)
	grant := w.claim("k", "b", "i1", 1, "t").GetClaim()
	w.markDispatched("k", grant.GetFence(), "d")
	w.finish("k", grant.GetFence(), "answer")
	w.claim("k2", "b", "i1", 1, "t")
	w.startLoad(w.acquire("i1", 1).GetFence(), "e1")
	return w
}

// Corruption that passes the checksums of the disk must not crash the process:
// a snapshot is either rejected, or can be used and saved again.
func FuzzRestore(f *testing.F) {
	encoded, err := newPopulatedHarness(f).Snapshot()
	assert.NilError(f, err)
	f.Add(encoded)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New(DefaultLimits())
		if s.Restore(data) != nil {
			return
		}
		for revision := range s.Revision() + 2 {
			s.ChangesSince(revision)
			if revision > 100 {
				break
			}
		}
		s.Execute(1<<62, &rpc.Command{Stamp: int64(time.Hour), Action: &rpc.Command_PassTime{}})
		_, err := s.Snapshot()
		assert.NilError(t, err)
	})
}

// An entry that cannot be decoded or has invalid values must leave a state that
// still works, since every replica applies the entries that follow.
func FuzzApply(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x52, 0x00})
	f.Add([]byte{0xa2, 0x01, 0x02, 0x12, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		w := newPopulatedHarness(t)
		w.index++
		_, result := w.Apply(w.index, data)
		assert.Assert(t, result.GetAnswer() != nil)
		encoded, err := w.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, New(w.limits).Restore(encoded))
	})
}
