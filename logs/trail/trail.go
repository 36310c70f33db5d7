// Package trail traces one request through the collected logs of several processes. It
// reads the JSON lines that package logs writes, in any order and from any number of files,
// and skips all other lines.
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

// Line is one parsed log line.
type Line struct {
	// File is the log that contains the line.
	File  string
	At    time.Time
	Event events.Number
	Text  string
	// Instance is the instance that wrote the line; empty in logs of older versions.
	Instance string
	Fields   map[string]any
}

// Field returns a field as text; empty if the line has no such field.
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

// Duration returns a field as a duration; 0 if it is not one.
func (l *Line) Duration(name string) time.Duration {
	d, err := time.ParseDuration(l.Field(name))
	if err != nil {
		return 0
	}
	return d
}

// Int returns a field as an integer; 0 if it is not one.
func (l *Line) Int(name string) int {
	n, err := strconv.Atoi(l.Field(name))
	if err != nil {
		return 0
	}
	return n
}

// Reader collects the lines that may concern one request.
type Reader struct {
	request string
	// requestLines name the request. contextLines name no request: they concern endpoints,
	// configurations and processes.
	requestLines, contextLines []Line
	// instances maps each instance with lines in the logs to its address.
	instances map[string]string
	// controlSources has the addresses of control instances that other instances followed.
	controlSources map[string]bool
}

// NewReader returns a reader for the trace of a request ID.
func NewReader(request string) *Reader {
	return &Reader{request: request, instances: map[string]string{}, controlSources: map[string]bool{}}
}

// maxLine bounds the length of a line in bytes; this system writes no longer ones.
const maxLine = 1 << 20

// Read adds the lines of a log; file names the log in the lines.
func (r *Reader) Read(file string, log io.Reader) error { return Scan(file, log, r.take) }

// Scan calls take for each line of a log that this system wrote, in order. file names the
// log in the lines.
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

// take keeps a line if it may concern the request.
func (r *Reader) take(line Line) {
	if line.Instance != "" {
		if address := line.Field("address"); line.Event == events.DaemonStarted.Number {
			r.instances[line.Instance] = address
		} else if _, known := r.instances[line.Instance]; !known {
			r.instances[line.Instance] = ""
		}
	}
	if source := line.Field("source"); source != "" && (line.Event == events.SourceFollowed.Number || line.Event == events.SourceLost.Number) {
		r.controlSources[source] = true
	}
	switch {
	case line.Field("request") == r.request:
		r.requestLines = append(r.requestLines, line)
	case line.Field("request") == "":
		r.contextLines = append(r.contextLines, line)
	}
}

// Trace is what the logs say about one request.
type Trace struct {
	Request string
	// Lines name the request, in order of time. Context has lines close in time about its
	// endpoints, its configuration and its processes.
	Lines, Context []Line
	// Instances are the instances whose logs were read. Missing has the addresses of
	// control instances that are mentioned but whose logs were not read.
	Instances []string
	Missing   []string
	// DropReports counts the reports, close in time, of lines that processes dropped from
	// their logs.
	DropReports int
}

// NotFoundError reports that no line names the request.
type NotFoundError struct{ Request string }

func (e *NotFoundError) Error() string {
	return "no line names the request " + strconv.Quote(e.Request)
}

// A line that explains a request can precede the request's first line or follow its last
// one by at most these times: an endpoint crashed before, a control instance became
// unresponsive, or a crash is detected a moment later.
const (
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
)

// Trace returns the trace of the request from the lines read so far. If no line names the
// request, it returns the instances along with a *NotFoundError.
func (r *Reader) Trace() (*Trace, error) {
	t := &Trace{Request: r.request}
	for name := range r.instances {
		t.Instances = append(t.Instances, name)
	}
	slices.Sort(t.Instances)
	t.Missing = r.missing()
	if len(r.requestLines) == 0 {
		return t, &NotFoundError{Request: r.request}
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(r.requestLines, byTime)
	t.Lines = r.requestLines
	from, to := r.requestLines[0].At, r.requestLines[len(r.requestLines)-1].At
	if took, err := time.ParseDuration(r.requestLines[len(r.requestLines)-1].Field("took")); err == nil {
		from = from.Add(-took)
	}
	t.selectContext(r.contextLines, from.Add(-contextBefore), to.Add(contextAfter))
	slices.SortStableFunc(t.Context, byTime)
	return t, nil
}

// fieldsOfAvoided are the fields that name endpoints which were left out for what they had
// announced, with the event of that announcement.
var fieldsOfAvoided = map[string]events.Number{
	"pushing_back": events.EndpointPushedBack.Number,
	"draining":     events.EndpointDraining.Number,
}

// announcement identifies the announcement of an endpoint to an instance, or without an endpoint
// an observation of the instance.
type announcement struct {
	endpoint, instance string
	event              events.Number
}

// avoided returns the announcements for which endpoints were left out, and the loss of all links
// for which the request went through another instance.
func (t *Trace) avoided() map[announcement]bool {
	found := map[announcement]bool{}
	for i := range t.Lines {
		for field, event := range fieldsOfAvoided {
			names, _ := t.Lines[i].Fields[field].([]any)
			for _, name := range names {
				if endpoint, ok := name.(string); ok {
					found[announcement{endpoint: endpoint, instance: t.Lines[i].Instance, event: event}] = true
				}
			}
		}
		if t.Lines[i].Field("via") != "" {
			found[announcement{instance: t.Lines[i].Instance, event: events.LinksLost.Number}] = true
		}
	}
	return found
}

// selectContext keeps the lines of a time span that concern the request's endpoints or
// instances, and the last announcements for which endpoints were left out, however old.
func (t *Trace) selectContext(around []Line, from, to time.Time) {
	endpoints, instances := map[string]bool{}, map[string]bool{}
	for i := range t.Lines {
		endpoints[t.Lines[i].Field("endpoint")] = true
		instances[t.Lines[i].Instance] = true
	}
	avoided, latest := t.avoided(), map[announcement]Line{}
	for _, line := range around {
		if key := (announcement{line.Field("endpoint"), line.Instance, line.Event}); avoided[key] && !line.At.After(to) {
			if !line.At.Before(latest[key].At) {
				latest[key] = line
			}
			continue
		}
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
	for _, line := range latest {
		t.Context = append(t.Context, line)
	}
}

// missing returns the addresses of control instances that other instances followed or lost,
// and whose logs were not read.
func (r *Reader) missing() []string {
	read := map[string]bool{}
	for _, address := range r.instances {
		read[address] = true
	}
	var missing []string
	for source := range r.controlSources {
		if !read[source] {
			missing = append(missing, source)
		}
	}
	slices.SortFunc(missing, cmp.Compare[string])
	return missing
}
