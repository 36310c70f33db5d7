package replog

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestScripts runs the scenarios in testdata. A line is a command, a comment
// that starts with "#", or "> " and the expected output of the command before
// it.
//
//	group 1 2 3       start a group with these voters
//	add 4             start a replica without state
//	elect 1           tick only this replica until it leads, then all replicas once
//	tick 20           tick all replicas
//	propose 1 a b     propose entries on replica 1
//	fill 1 200        propose that many entries, a few at a time
//	read 1            request a read and print its index, or "no answer"
//	change 1 remove 3 change the membership: learner, promote, remove
//	transfer 1 2      transfer leadership
//	isolate 1, join 1 block a replica's links in both directions, or unblock them
//	deaf 1            drop the messages to the replica
//	mute 1            drop the messages from the replica
//	hang 1, resume 1  stall the replica's writes, or complete them
//	crash 1, start 1  stop a replica, or start it from its disk
//	forget 1          start a replica with an empty disk under its old ReplicaID
//	compact 1         replace all applied entries by a snapshot
//	status            print the running replicas
//	data 1            print the applied data
//	same 1 2 3        print whether the replicas have applied the same entries
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join("testdata", "*.txt"))
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) { runScript(t, path) })
	}
}

const scriptOutput = "> "

func runScript(t *testing.T, path string) {
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	s := &script{t: t}
	var got []string
	for line := range strings.Lines(string(b)) {
		line = strings.TrimSuffix(line, "\n")
		if strings.HasPrefix(line, scriptOutput) {
			continue
		}
		got = append(got, line)
		if fields := strings.Fields(line); len(fields) > 0 && fields[0] != "#" {
			got = append(got, s.run(fields[0], fields[1:])...)
		}
	}
	out := strings.Join(got, "\n") + "\n"
	if *rewrite {
		assert.NilError(t, os.WriteFile(path, []byte(out), 0o644))
	}
	assert.Equal(t, out, string(b))
}

// script is a scenario: a group and the test that runs it.
type script struct {
	*group
	t *testing.T
}

// run executes a command and returns its output, each line prefixed with
// scriptOutput.
func (s *script) run(name string, args []string) []string {
	if name == "group" {
		s.group = newGroup(s.t, 1, ids(s.t, args)...)
		return nil
	}
	command, ok := commands[name]
	assert.Assert(s.t, ok, "unknown command %s", name)
	assert.Assert(s.t, len(args) >= command.args, "%s wants %d arguments", name, command.args)
	out := command.do(s, args)
	s.deliver()
	if out == "" {
		return nil
	}
	var lines []string
	for _, l := range strings.Split(out, "\n") {
		lines = append(lines, scriptOutput+l)
	}
	return lines
}

type command struct {
	args int
	do   func(s *script, args []string) string
}

var commands = map[string]command{
	"add":      {1, func(s *script, a []string) string { s.group.add(id(s.t, a[0]), PersistentState{}); return "" }},
	"elect":    {1, (*script).elect},
	"tick":     {1, func(s *script, a []string) string { s.group.tick(number(s.t, a[0])); return "" }},
	"propose":  {2, (*script).propose},
	"fill":     {2, (*script).fill},
	"read":     {1, (*script).read},
	"change":   {3, (*script).change},
	"transfer": {2, (*script).transfer},
	"isolate":  {1, func(s *script, a []string) string { s.group.isolate(id(s.t, a[0]), true); return "" }},
	"join":     {1, func(s *script, a []string) string { s.group.isolate(id(s.t, a[0]), false); return "" }},
	"deaf":     {1, (*script).deaf},
	"mute":     {1, (*script).mute},
	"hang":     {1, func(s *script, a []string) string { s.of(a[0]).diskStalled = true; return "" }},
	"resume":   {1, func(s *script, a []string) string { s.of(a[0]).diskStalled = false; s.save(id(s.t, a[0])); return "" }},
	"crash":    {1, func(s *script, a []string) string { s.of(a[0]).running = false; return "" }},
	"start":    {1, func(s *script, a []string) string { s.group.restart(id(s.t, a[0])); return "" }},
	"forget":   {1, (*script).forget},
	"compact":  {1, (*script).compact},
	"status":   {0, (*script).status},
	"data":     {1, func(s *script, a []string) string { return strings.Join(s.of(a[0]).appliedData(), " ") }},
	"same":     {1, (*script).same},
}

func number(t *testing.T, arg string) int {
	n, err := strconv.Atoi(arg)
	assert.NilError(t, err)
	return n
}

func id(t *testing.T, arg string) ReplicaID { return ReplicaID(number(t, arg)) }

func ids(t *testing.T, args []string) []ReplicaID {
	var out []ReplicaID
	for _, a := range args {
		out = append(out, id(t, a))
	}
	return out
}

func (s *script) of(arg string) *replica {
	r := s.replicas[id(s.t, arg)]
	assert.Assert(s.t, r != nil, "no replica %s", arg)
	return r
}

// errorOutput returns the output for an error.
func errorOutput(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (s *script) elect(args []string) string {
	r := s.of(args[0])
	for range 4 * defaultElectionTicks {
		r.node.Tick()
		s.deliver()
		if r.node.role == Leader {
			s.tick(1)
			return ""
		}
	}
	return "not elected"
}

func (s *script) propose(args []string) string {
	for _, data := range args[1:] {
		if _, err := s.of(args[0]).node.Propose([]byte(data)); err != nil {
			return err.Error()
		}
	}
	return ""
}

func (s *script) fill(args []string) string {
	for i := range number(s.t, args[1]) {
		if out := s.propose([]string{args[0], fmt.Sprint("f", i)}); out != "" {
			return out
		}
		if i%3 == 0 {
			s.deliver()
		}
	}
	return ""
}

func (s *script) read(args []string) string {
	r := s.of(args[0])
	if err := r.node.ReadIndex(1); err != nil {
		return err.Error()
	}
	r.reads = nil
	s.deliver()
	if len(r.reads) == 0 {
		return "no answer"
	}
	return fmt.Sprintf("index %d", r.reads[0].Index)
}

func (s *script) change(args []string) string {
	kinds := map[string]ChangeKind{"learner": AddLearner, "promote": Promote, "remove": Remove}
	c := Change{Kind: kinds[args[1]], Replica: id(s.t, args[2])}
	_, err := s.of(args[0]).node.ProposeChange(c)
	return errorOutput(err)
}

func (s *script) transfer(args []string) string {
	return errorOutput(s.of(args[0]).node.TransferLeadership(id(s.t, args[1])))
}

func (s *script) deaf(args []string) string {
	for _, other := range s.order {
		s.blocked[[2]ReplicaID{other, id(s.t, args[0])}] = true
	}
	return ""
}

func (s *script) mute(args []string) string {
	for _, other := range s.order {
		s.blocked[[2]ReplicaID{id(s.t, args[0]), other}] = true
	}
	return ""
}

func (s *script) forget(args []string) string {
	s.of(args[0]).store = NewMemoryStorage(PersistentState{})
	s.restart(id(s.t, args[0]))
	return ""
}

func (s *script) compact(args []string) string {
	r := s.of(args[0])
	data := strings.Join(r.appliedData(), " ")
	if len(r.start.Data) > 0 {
		data = string(r.start.Data) + " " + data
	}
	snap, err := r.node.Compact(r.node.log.applied, []byte(data))
	if err != nil {
		return err.Error()
	}
	r.start = snap
	r.applied = nil
	return errorOutput(r.store.Compact(snap))
}

func (s *script) status([]string) string {
	var lines []string
	for _, id := range s.order {
		r := s.replicas[id]
		if !r.running {
			continue
		}
		st := r.node.Status()
		lines = append(lines, fmt.Sprintf("%d %s of term %d, leader %d, %s, committed %d of %d",
			id, st.Role, st.Term, st.Leader, formatMembers(st.Members), st.Commit, st.LastIndex))
	}
	return strings.Join(lines, "\n")
}

// formatMembers lists the voters, and the learners in brackets.
func formatMembers(ms Members) string {
	var out []string
	for _, m := range ms {
		if m.Learner {
			out = append(out, fmt.Sprintf("(%d)", m.Replica))
		} else {
			out = append(out, fmt.Sprint(m.Replica))
		}
	}
	sort.Strings(out)
	return "members " + strings.Join(out, " ")
}

// same compares the whole state of replicas, including the part that is covered
// by snapshots.
func (s *script) same(args []string) string {
	states := map[string]bool{}
	for _, a := range args {
		r := s.of(a)
		states[strings.TrimSpace(string(r.start.Data)+" "+strings.Join(r.appliedData(), " "))] = true
	}
	if len(states) > 1 {
		return "no"
	}
	for state := range states {
		return fmt.Sprintf("yes, %d entries", len(strings.Fields(state)))
	}
	return ""
}
