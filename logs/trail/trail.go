// Package trail finds the life of one request in the collected logs of several
// processes. It reads lines of JSON objects as package logs writes them, in any
// order and from any number of files, and skips what is none.
package trail

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/carawaystile/carawaystile/events"
)

// Line is one line of a log.
type Line struct {
	// File is where it was read.
	File  string
	At    time.Time
	Event events.Number
	Text  string
	// Instance is who wrote it; empty in logs of older versions.
	Instance string
	Fields   map[string]any
}

// Field returns a field as text; empty if there is none.
func (l *Line) Field(name string) string {
	switch v := l.Fields[name].(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	case nil:
		return ""
	default:
		text, err := json.Marshal(v)
		if err != nil {
			return ""
		}
		return string(text)
	}
}

// Duration returns a field as a duration; 0 if it is none.
func (l *Line) Duration(name string) time.Duration {
	d, err := time.ParseDuration(l.Field(name))
	if err != nil {
		return 0
	}
	return d
}

// Int returns a field as a number; 0 if it is none.
func (l *Line) Int(name string) int {
	n, err := strconv.Atoi(l.Field(name))
	if err != nil {
		return 0
	}
	return n
}

// Reader collects the lines that may matter for one request.
type Reader struct {
	request string
	// own are the lines that name the request, around those of endpoints, of
	// configurations and of processes.
	own, around []Line
	// instances are those whose lines were read, by name with their address.
	instances map[string]string
	// sources are addresses of control instances that others followed.
	sources map[string]bool
}

// NewReader returns a reader that looks for a request.
func NewReader(request string) *Reader {
	return &Reader{request: request, instances: map[string]string{}, sources: map[string]bool{}}
}

// maxLine bounds a line; longer ones are none of ours.
const maxLine = 1 << 20

// Read reads a log. The file names it in what is found.
func (r *Reader) Read(file string, log io.Reader) error { return Scan(file, log, r.take) }

// Scan hands out the lines of a log that are this system's, in order. The file names
// the log in them.
func Scan(file string, log io.Reader, take func(Line)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if line, ok := parse(file, scanner.Bytes()); ok {
			take(line)
		}
	}
	return scanner.Err()
}

func parse(file string, text []byte) (Line, bool) {
	if len(text) == 0 || text[0] != '{' {
		return Line{}, false
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	line := Line{File: file, Fields: map[string]any{}}
	if err := decoder.Decode(&line.Fields); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, line.Field("ts"))
	number, isNumber := line.Fields["event"].(json.Number)
	if err != nil || !isNumber {
		return Line{}, false
	}
	n, err := number.Int64()
	if err != nil {
		return Line{}, false
	}
	line.At, line.Event, line.Text, line.Instance = at, events.Number(n), line.Field("msg"), line.Field("instance")
	for _, known := range []string{"ts", "event", "msg", "level", "instance"} {
		delete(line.Fields, known)
	}
	return line, true
}

// take keeps a line if it may matter.
func (r *Reader) take(line Line) {
	if line.Instance != "" {
		if address := line.Field("address"); line.Event == events.DaemonStarted.Number {
			r.instances[line.Instance] = address
		} else if _, known := r.instances[line.Instance]; !known {
			r.instances[line.Instance] = ""
		}
	}
	if source := line.Field("source"); source != "" && (line.Event == events.SourceFollowed.Number || line.Event == events.SourceLost.Number) {
		r.sources[source] = true
	}
	switch {
	case line.Field("request") == r.request:
		r.own = append(r.own, line)
	case line.Field("request") == "":
		r.around = append(r.around, line)
	}
}

// Trace is what was found.
type Trace struct {
	Request string
	// Lines are those that name the request, in their order, and Context those of
	// its endpoints, its configuration and its processes near in time.
	Lines, Context []Line
	// Instances are those whose logs were read. Missing are addresses of control
	// instances that are spoken of and whose logs were not.
	Instances []string
	Missing   []string
	// DropReports counts lines near in time that processes left out of their logs.
	DropReports int
}

// NotFoundError means that no line names the request.
type NotFoundError struct{ Request string }

func (e *NotFoundError) Error() string { return "no line names the request " + strconv.Quote(e.Request) }

// A line that explains a request may come this long before its life or after it:
// an endpoint that crashed before, a control instance that fell silent, a crash
// that shows a moment later.
const (
	near  = 5 * time.Second
	after = time.Second
)

// Trace sums up what was read.
func (r *Reader) Trace() (*Trace, error) {
	t := &Trace{Request: r.request}
	for name := range r.instances {
		t.Instances = append(t.Instances, name)
	}
	slices.Sort(t.Instances)
	t.Missing = r.missing()
	if len(r.own) == 0 {
		return t, &NotFoundError{Request: r.request}
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(r.own, byTime)
	t.Lines = r.own
	from, to := r.own[0].At, r.own[len(r.own)-1].At
	if took, err := time.ParseDuration(r.own[len(r.own)-1].Field("took")); err == nil {
		from = from.Add(-took)
	}
	t.pick(r.around, from.Add(-near), to.Add(after))
	slices.SortStableFunc(t.Context, byTime)
	return t, nil
}

// pick keeps the lines of a span of time that concern the request.
func (t *Trace) pick(around []Line, from, to time.Time) {
	endpoints, instances := map[string]bool{}, map[string]bool{}
	for i := range t.Lines {
		endpoints[t.Lines[i].Field("endpoint")] = true
		instances[t.Lines[i].Instance] = true
	}
	for _, line := range around {
		if line.At.Before(from) || line.At.After(to) {
			continue
		}
		if line.Event == events.LogLinesDropped.Number {
			t.DropReports++
		}
		endpoint := line.Field("endpoint")
		if endpoint != "" && endpoints[endpoint] || endpoint == "" && instances[line.Instance] {
			t.Context = append(t.Context, line)
		}
	}
}

// missing lists control instances that were followed or lost, and whose logs
// were not read.
func (r *Reader) missing() []string {
	read := map[string]bool{}
	for _, address := range r.instances {
		read[address] = true
	}
	var missing []string
	for source := range r.sources {
		if !read[source] {
			missing = append(missing, source)
		}
	}
	slices.SortFunc(missing, cmp.Compare[string])
	return missing
}
