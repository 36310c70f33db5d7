package demo

import (
	"context"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// claimTime is how long the right to dispatch lasts.
const claimTime = 5 * time.Second

type claimKey struct {
	org tables.OrganisationID
	key tables.Key
}

type claimRow struct {
	body       tables.BodyHash
	fence      tables.Fence
	dispatched bool
	done       bool
	answer     tables.Answer
}

// claims is one agreed table of claims for all instances of the process.
type claims struct {
	mu    sync.Mutex
	fence tables.Fence
	rows  map[claimKey]*claimRow
}

func newClaims() *claims { return &claims{rows: make(map[claimKey]*claimRow)} }

// zoneClaimer asks for claims from one zone; in a minority it gets none.
type zoneClaimer struct {
	claims  *claims
	network *network
	zone    tables.Zone
}

func (c *zoneClaimer) reach(ctx context.Context, asked string) error {
	if c.network.reachesMajority(c.zone) {
		return nil
	}
	<-ctx.Done()
	return &tables.NoQuorum{Asked: asked, Cause: ctx.Err()}
}

// Claim asks for the right to run work once.
func (c *zoneClaimer) Claim(ctx context.Context, org tables.OrganisationID, key tables.Key, body tables.BodyHash) (tables.Grant, error) {
	if err := c.reach(ctx, "claim"); err != nil {
		return tables.Grant{}, err
	}
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	grant := tables.Grant{Organisation: org, Key: key, State: tables.GrantInProgress}
	row, ok := c.claims.rows[claimKey{org, key}]
	switch {
	case !ok:
		c.claims.fence++
		c.claims.rows[claimKey{org, key}] = &claimRow{body: body, fence: c.claims.fence}
		grant.State, grant.Fence, grant.Until = tables.GrantNew, c.claims.fence, claimTime
	case row.body != body:
		return tables.Grant{}, &tables.KeyReused{Organisation: org, Key: key}
	case row.done:
		grant.State, grant.Answer = tables.GrantDone, row.answer
	}
	return grant, nil
}

// change runs a function on the row of a grant that is still the holder's.
func (c *zoneClaimer) change(ctx context.Context, asked string, g tables.Grant, do func(row *claimRow)) error {
	if err := c.reach(ctx, asked); err != nil {
		return err
	}
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	row := c.claims.rows[claimKey{g.Organisation, g.Key}]
	if row == nil || row.fence != g.Fence {
		return &tables.GrantLost{Organisation: g.Organisation, Key: g.Key, Fence: g.Fence}
	}
	do(row)
	return nil
}

// MarkDispatched records that the work may run from now on.
func (c *zoneClaimer) MarkDispatched(ctx context.Context, g tables.Grant) error {
	return c.change(ctx, "mark dispatched", g, func(row *claimRow) { row.dispatched = true })
}

// Finish stores the answer.
func (c *zoneClaimer) Finish(ctx context.Context, g tables.Grant, a tables.Answer) error {
	return c.change(ctx, "finish", g, func(row *claimRow) { row.done, row.answer = true, a })
}

// Release gives the claim back.
func (c *zoneClaimer) Release(ctx context.Context, g tables.Grant) error {
	return c.change(ctx, "release", g, func(*claimRow) { delete(c.claims.rows, claimKey{g.Organisation, g.Key}) })
}
