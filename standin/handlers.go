package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	maxRequestBody = 64 << 20
	typeJSON       = "application/json"
	heartbeat      = engine.HeartbeatInterval / 2
	heartbeatLine  = ":\n\n"
)

func answerJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", typeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBody)).Decode(value)
	if err != nil {
		answerJSON(w, http.StatusBadRequest, engine.Rejection{NotStarted: true, Reason: "malformed request"})
	}
	return err == nil
}

func (e *Engine) decline(w http.ResponseWriter, status int, attempt tables.AttemptID, reason string) {
	e.options.Records.update(func(t *Totals) { t.Declined++ })
	answerJSON(w, status, engine.Rejection{Attempt: attempt, NotStarted: true, Reason: reason})
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req engine.GenerateRequest
	if !readJSON(w, r, &req) {
		return
	}
	life := e.current()
	weights, ok := e.serves(req.Model)
	switch {
	case !ok:
		e.decline(w, http.StatusConflict, req.Attempt, "model not served")
		return
	case req.Weights != "" && req.Weights != weights:
		e.decline(w, http.StatusConflict, req.Attempt, "other weights version")
		return
	}
	a := newAttempt(req, weights, e.options.Owner(req.Prompt))
	if a.text.First(req.ResumeFrom) != req.Emitted {
		e.options.Records.update(func(t *Totals) { t.BadResumes++ })
		e.decline(w, http.StatusConflict, req.Attempt, "emitted text is not this answer's")
		return
	}
	if !life.enqueue(a) {
		e.decline(w, http.StatusTooManyRequests, req.Attempt, "queue full")
		return
	}
	e.streamAnswer(w, r, life, a)
}

func newAttempt(req engine.GenerateRequest, weights tables.WeightsVersion, owner string) *attempt {
	scope := prefix.Scope{
		Organisation: tables.OrganisationID(req.Salt),
		Model:        req.Model,
		Adapter:      req.Adapter,
		Weights:      weights,
	}
	a := &attempt{
		req:          req,
		weights:      weights,
		owner:        owner,
		text:         NewText(req.Model, req.Adapter, weights, req.Prompt),
		blocks:       prefix.BlockHashes(nil, scope.RootHash(), req.Prompt),
		promptTokens: prefix.EstimateTokens(len(req.Prompt)),
		notify:       make(chan struct{}, 1),
		gone:         make(chan struct{}),
	}
	a.produced.Store(int64(req.ResumeFrom))
	return a
}

// streamAnswer sends an attempt's events until it is over, cancelled or lost.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, l *life, a *attempt) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := &eventWriter{w: w, flusher: w.(http.Flusher)}
	out.event(engine.EventAccepted, engine.AcceptedEvent{
		Attempt: a.req.Attempt, Boot: l.boot, Weights: a.weights, CachedTokens: a.foundTokens,
	})
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	sent := a.req.ResumeFrom
	for {
		select {
		case <-a.notify:
		case <-ticker.C:
			out.text(heartbeatLine)
		case <-a.gone:
			out.event(engine.EventError, engine.ErrorEvent{Attempt: a.req.Attempt, Reason: "cancelled"})
			return
		case <-l.ctx.Done():
			l.cut(a)
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			l.drop(a.req.Attempt)
			panic(http.ErrAbortHandler)
		}
		<-e.hang.opened()
		if sent = out.tokens(a, sent); sent == a.req.MaxTokens {
			out.event(engine.EventDone, engine.DoneEvent{Attempt: a.req.Attempt, Tokens: sent, CachedTokens: a.cachedTokens})
			return
		}
	}
}

// eventWriter writes server-sent events and flushes each.
type eventWriter struct {
	w       http.ResponseWriter
	flusher http.Flusher
	buffer  []byte
}

func (o *eventWriter) event(name string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	o.text("event: " + name + "\ndata: " + string(data) + "\n\n")
}

func (o *eventWriter) text(text string) {
	_, _ = o.w.Write([]byte(text))
	o.flusher.Flush()
}

// tokens sends what was produced since the last time.
func (o *eventWriter) tokens(a *attempt, sent int) int {
	produced := int(a.produced.Load())
	for ; sent < produced; sent++ {
		token := engine.Token{Attempt: a.req.Attempt, Index: sent, Text: a.text.Token(sent)}
		o.buffer = engine.AppendTokenEvent(o.buffer[:0], token)
		_, _ = o.w.Write(o.buffer)
		o.flusher.Flush()
	}
	return sent
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var req engine.CancelRequest
	if !readJSON(w, r, &req) {
		return
	}
	l := e.current()
	found := l.drop(req.Attempt)
	answerJSON(w, http.StatusOK, engine.CancelResponse{Attempt: req.Attempt, Boot: l.boot, Found: found})
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	l := e.current()
	serveLoads(w, r, loadSource{hang: &e.hang, ended: l.ctx.Done(), report: func() engine.Load {
		l.mu.Lock()
		defer l.mu.Unlock()
		load := l.loads.lagging(l.report, time.Now())
		if lie := e.lie.Load(); lie != nil {
			(*lie)(&load)
		}
		return load
	}})
}

// report describes the life as it is; its lock must be held.
func (l *life) report() engine.Load {
	load := engine.Load{
		Boot:        l.boot,
		Weights:     l.engine.servedWeights(),
		Running:     len(l.running),
		Queued:      len(l.queue),
		CacheBlocks: l.cache.size(),
		Attempts:    make([]tables.AttemptID, 0, len(l.running)+len(l.queue)),
	}
	for _, a := range l.running {
		load.Attempts = append(load.Attempts, a.req.Attempt)
	}
	for _, a := range l.queue {
		load.Attempts = append(load.Attempts, a.req.Attempt)
		load.QueuedTokens += a.promptTokens
	}
	return load
}

// serveEvents answers at once if there are changes and holds the question back
// for the asked time otherwise.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	l := e.current()
	if query.Get("boot") != string(l.boot) {
		after = 0
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		changes, next, grown := l.log.after(after, time.Now())
		if len(changes) > engine.MaxChangesPerResponse {
			changes = changes[:engine.MaxChangesPerResponse]
		}
		if len(changes) > 0 {
			answerJSON(w, http.StatusOK, engine.CacheChanges{Boot: l.boot, Changes: changes})
			return
		}
		var readable <-chan time.Time
		if !next.IsZero() {
			readable = time.After(time.Until(next))
		}
		select {
		case <-grown:
		case <-readable:
		case <-deadline.C:
			answerJSON(w, http.StatusOK, engine.CacheChanges{Boot: l.boot})
			return
		case <-l.ctx.Done():
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}
