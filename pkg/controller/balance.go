package controller

import (
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// onLoads takes in the request rates of slices.
func (l *leadership) onLoads(clock.Instant, []wire.SliceLoad) {}

// planBalance returns the assignment after the next balancing move, nil if none is due.
func (l *leadership) planBalance(clock.Instant, *pool, []placement.Target) []SliceRecord { return nil }
