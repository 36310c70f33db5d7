package control

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/store"
	"github.com/carawaystile/carawaystile/tables"
)

// reportTimes reports the median and 99th percentile of measured times in
// milliseconds.
func reportTimes(b *testing.B, name string, times []time.Duration) {
	slices.Sort(times)
	at := func(p float64) float64 {
		return float64(times[int(p*float64(len(times)-1))]) / float64(time.Millisecond)
	}
	b.ReportMetric(at(0.5), name+"_p50_ms")
	b.ReportMetric(at(0.99), name+"_p99_ms")
}

// BenchmarkApplyInForce measures the time from sending an apply until all of 9
// instances, 3 of them control instances, have stored and applied it.
func BenchmarkApplyInForce(b *testing.B) {
	c := newCluster(b, 3, 6)
	var accepted, inForce []time.Duration
	revision := uint64(0)
	b.ResetTimer()
	for b.Loop() {
		start := time.Now()
		answer := c.apply(int(revision%3), fmt.Sprint("r", revision), revision, time.Duration(revision+1)*time.Second)
		assert.Assert(b, answer.GetAccepted() != nil, "%v", answer)
		accepted = append(accepted, time.Since(start))
		revision = answer.GetAccepted().GetRevision().GetNumber()
		for i := range c.instances {
			for got := range c.instances[i].inForce {
				if uint64(got) >= revision {
					break
				}
			}
		}
		inForce = append(inForce, time.Since(start))
	}
	reportTimes(b, "accepted", accepted)
	reportTimes(b, "in_force", inForce)
}

// BenchmarkClaims measures the two commits before a dispatch, over 3 control
// instances with synced files. A single caller makes one claim at a time, so that
// each commit has its own sync; with more callers, commits share syncs (group
// commit). Followers long-poll the same control instances.
func BenchmarkClaims(b *testing.B) {
	for _, load := range []struct{ callers, followers int }{{1, 0}, {16, 0}, {128, 0}, {128, 340}} {
		b.Run(fmt.Sprintf("callers=%d/followers=%d", load.callers, load.followers), func(b *testing.B) {
			f := newFanOut(b, load.followers)
			f.applyAndAwait(0)
			var next atomic.Int64
			var mu sync.Mutex
			var times []time.Duration
			var running sync.WaitGroup
			b.ResetTimer()
			for caller := range load.callers {
				running.Go(func() {
					claims := f.instances[caller%3].claims
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						start := time.Now()
						claimAndMarkDispatched(b, claims, n)
						mu.Lock()
						times = append(times, time.Since(start))
						mu.Unlock()
					}
				})
			}
			running.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			reportTimes(b, "before_dispatch", times)
		})
	}
}

// claimer is the part of client.ClaimClient that is measured.
type claimer interface {
	Claim(context.Context, tables.OrganisationID, tables.IdempotencyKey, tables.BodyHash) (tables.ClaimResult, error)
	MarkDispatched(context.Context, tables.ClaimResult) error
}

// claimAndMarkDispatched makes the two commits before a dispatch.
func claimAndMarkDispatched(b *testing.B, claims claimer, n int64) {
	organisation := tables.OrganisationID(fmt.Sprint("o", n%8))
	grant, err := claims.Claim(context.Background(), organisation, tables.IdempotencyKey(fmt.Sprint(n)), tables.BodyHash{1})
	assert.Check(b, err)
	assert.Check(b, claims.MarkDispatched(context.Background(), grant))
}

// BenchmarkNewLeader measures the time from the loss of the leader until the group
// commits again: after a partition of the leader, and after its orderly shutdown.
func BenchmarkNewLeader(b *testing.B) {
	for _, planned := range []bool{false, true} {
		b.Run(fmt.Sprint("planned=", planned), func(b *testing.B) {
			var times []time.Duration
			for b.Loop() {
				c := newCluster(b, 3, 0)
				c.apply(0, "r", 0, time.Second)
				leader := c.leader()
				start := time.Now()
				if planned {
					c.instances[leader].server.Close()
				} else {
					c.isolate(leader)
				}
				assert.NilError(b, c.instances[(leader+1)%3].server.Barrier(c.testContext()))
				times = append(times, time.Since(start))
			}
			reportTimes(b, "new_leader", times)
		})
	}
}

// leader returns the index of the leader, 0 if there is none.
func (c *cluster) leader() int {
	for i, in := range c.instances {
		if in.server != nil && in.server.Status().IsLeader {
			return i
		}
	}
	return 0
}

// isolate partitions an instance from all others.
func (c *cluster) isolate(i int) {
	for j, other := range c.instances {
		if j != i {
			other.partition.setBlocked(c.instances[i].address, true)
			c.instances[i].partition.setBlocked(other.address, true)
		}
	}
}

// BenchmarkFullSnapshot measures how long a snapshot blocks a replica that holds
// the maximum number of claims, an eighth of them with responses.
func BenchmarkFullSnapshot(b *testing.B) {
	limits := state.DefaultLimits()
	s := state.New(limits)
	index := uint64(0)
	run := func(command *rpc.Command) *rpc.Result {
		index++
		return s.Execute(index, command)
	}
	for n := range limits.MaxClaims {
		command := claimCommand(n)
		grant := run(command).GetClaim()
		claim := command.GetClaim()
		if n%8 == 0 {
			run(&rpc.Command{Action: &rpc.Command_MarkDispatched{MarkDispatched: &rpc.MarkDispatched{
				Organisation: claim.Organisation, Key: claim.Key, Fence: grant.GetFence(), Token: "t",
			}}})
			run(&rpc.Command{Action: &rpc.Command_FinishClaim{FinishClaim: &rpc.FinishClaim{
				Organisation: claim.Organisation, Key: claim.Key, Fence: grant.GetFence(),
				Answer: &rpc.StoredAnswer{Status: 200, Body: make([]byte, 2048)},
			}}})
		}
	}
	assert.Equal(b, s.ClaimCount(), limits.MaxClaims)
	var encoded []byte
	var err error
	b.ResetTimer()
	var blocked time.Duration
	for b.Loop() {
		start := time.Now()
		snapshot := s.TakeSnapshot()
		blocked += time.Since(start)
		encoded, err = state.EncodeSnapshot(snapshot)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(len(encoded)), "snapshot_bytes")
	b.ReportMetric(float64(blocked.Milliseconds())/float64(b.N), "held_up_ms")
}

// BenchmarkRestart measures how long a control instance needs to recover from disk
// after many changes, and the size of its data folder.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{1400, 14_000, 140_000} {
		b.Run(fmt.Sprint("changes=", changes), func(b *testing.B) {
			dir := filepath.Join(b.TempDir(), "data")
			writeChanges(b, dir, changes)
			b.ResetTimer()
			for b.Loop() {
				replica, folder := startSingleReplica(b, dir)
				for !replica.Status().Joined {
					runtime.Gosched()
				}
				b.StopTimer()
				replica.Close()
				assert.NilError(b, folder.Close())
				b.StartTimer()
			}
			b.ReportMetric(float64(folderBytes(b, dir)), "disk_bytes")
		})
	}
}

// nilDialer returns no client; a group of one replica has no peers.
type nilDialer struct{}

func (nilDialer) Control(string) rpc.Control { return nil }

// startSingleReplica starts a group of one replica on a data folder.
func startSingleReplica(b *testing.B, dir string) (*server.Server, *store.DataDir) {
	folder, err := store.OpenDataDir(dir)
	assert.NilError(b, err)
	replica, err := server.Start(server.Options{
		Self:     server.Instance{Name: "i", Address: "127.0.0.1:1"},
		Dialer:   nilDialer{},
		LogStore: server.FolderLogStore{Folder: folder},
	})
	assert.NilError(b, err)
	return replica, folder
}

// writeChanges commits the given number of changes in a group of one, with 256
// concurrent writers.
func writeChanges(b *testing.B, dir string, changes int) {
	replica, folder := startSingleReplica(b, dir)
	ctx := context.Background()
	assert.NilError(b, replica.Barrier(ctx))
	items := encodedItems(b, time.Second)
	_, err := replica.Execute(ctx, &rpc.Command{Action: &rpc.Command_Apply{Apply: &rpc.ApplyConfiguration{
		Request: "first", Digest: configuration.NewContent(items).DeclaredDigest(), Changes: items,
	}}})
	assert.NilError(b, err)
	var next atomic.Int64
	var running sync.WaitGroup
	for range 256 {
		running.Go(func() {
			for n := next.Add(1); n < int64(changes); n = next.Add(1) {
				_, err := replica.Execute(ctx, &rpc.Command{Action: &rpc.Command_ChangeLife{ChangeLife: &rpc.ChangeLife{
					Operator: "ama", Request: fmt.Sprint(n), Endpoint: "e1", Join: true,
				}}})
				assert.Check(b, err)
			}
		})
	}
	running.Wait()
	assert.Equal(b, replica.Revision(), tables.Revision(changes))
	replica.Close()
	assert.NilError(b, folder.Close())
}

// folderBytes returns the total size of the files in a folder.
func folderBytes(b *testing.B, dir string) int64 {
	total := int64(0)
	assert.NilError(b, filepath.Walk(dir, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			total += info.Size()
		}
		return err
	}))
	return total
}

// BenchmarkStateBytes measures the size of one row of each kind in a snapshot and
// in memory.
func BenchmarkStateBytes(b *testing.B) {
	const rows = 5000
	kinds := map[string]func(int) *rpc.Command{
		"profile":      func(n int) *rpc.Command { return applyCommand(b, n, withProfile) },
		"organisation": func(n int) *rpc.Command { return applyCommand(b, n, withOrganisation) },
		"endpoint":     func(n int) *rpc.Command { return applyCommand(b, n, withEndpoint) },
		"claim":        claimCommand,
	}
	for name, command := range kinds {
		b.Run(name, func(b *testing.B) {
			var heap, snapshot float64
			for b.Loop() {
				before := heapBytes()
				s := state.New(state.DefaultLimits())
				if name == "claim" {
					for n := range rows {
						s.Execute(uint64(n+1), command(n))
					}
				} else {
					s.Execute(1, command(rows))
				}
				encoded, err := s.Snapshot()
				assert.NilError(b, err)
				snapshot = float64(len(encoded)) / rows
				encoded = nil
				heap = (heapBytes() - before) / rows
				runtime.KeepAlive(s)
			}
			b.ReportMetric(snapshot, "snapshot_bytes/row")
			b.ReportMetric(heap, "heap_bytes/row")
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// claimCommand returns a command that claims the n-th key.
func claimCommand(n int) *rpc.Command {
	return &rpc.Command{Action: &rpc.Command_Claim{Claim: &rpc.Claim{
		Organisation: fmt.Sprint("organisation-", n%8),
		Key:          fmt.Sprintf("%032d", n),
		Body:         make([]byte, 32),
		Owner:        &rpc.ClaimOwner{Instance: "accra-a-1", Boot: 1},
		Token:        fmt.Sprintf("boot-%06d", n),
	}}}
}

// applyCommand returns a command that declares n rows in one revision.
func applyCommand(b *testing.B, n int, add func(*tables.Configuration, int)) *rpc.Command {
	var c tables.Configuration
	for i := range n {
		add(&c, i)
	}
	items, err := configuration.Encode(c)
	assert.NilError(b, err)
	return &rpc.Command{Action: &rpc.Command_Apply{Apply: &rpc.ApplyConfiguration{
		Request: "r", Digest: configuration.NewContent(items).DeclaredDigest(), Changes: items,
	}}}
}

func withProfile(c *tables.Configuration, i int) {
	c.Profiles = append(c.Profiles, tables.Profile{
		Name: tables.ProfileName(fmt.Sprintf("profile-%05d", i)), Model: "language-model", Timeout: time.Minute,
	})
}

func withOrganisation(c *tables.Configuration, i int) {
	c.Organisations = append(c.Organisations, tables.Organisation{
		ID: tables.OrganisationID(fmt.Sprintf("organisation-%05d", i)), Share: 1,
		TokenHashes: []string{fmt.Sprintf("%064d", i)},
	})
}

func withEndpoint(c *tables.Configuration, i int) {
	c.Endpoints = append(c.Endpoints, tables.Endpoint{
		ID: tables.EndpointID(fmt.Sprintf("endpoint-%05d", i)), Zone: "accra-a",
		Models: []tables.ModelName{"language-model"}, Slots: 8, CacheBlocks: 64,
	})
}
