package steward

import (
	"context"
	"encoding/json"
	"time"

	"tanagerpoint.example/tanager/cascade"
	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/lease"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// checkpointInterval is the minimum time between two writes of the checkpoint to the
// store.
const checkpointInterval = 15 * time.Second

// ratingsTask reads new ratings from the rating service and publishes their sums
// to the entries. It also writes the sums to the store, from which the next lease
// holder continues.
type ratingsTask struct {
	daemon     *Daemon
	checkpoint checkpoint
	// loaded reports whether the checkpoint has been read from the store.
	loaded bool
	// writtenAt is the time of the last write of the checkpoint.
	writtenAt time.Time
	// choosers compute the sums, by the cascade's id.
	choosers map[string]*cascade.Chooser
}

// checkpoint is the task's state in the store, encoded as JSON. Sequence is the
// sequence number of the last rating read.
type checkpoint struct {
	Sequence int64       `json:"sequence"`
	Sums     []ratingSum `json:"sums"`
}

// ratingSum is a cascade's estimate of the quality of a version for one kind of
// work: the mean of its ratings, and the weight of that mean.
type ratingSum struct {
	Cascade string  `json:"cascade"`
	Work    string  `json:"work"`
	Version string  `json:"version"`
	Weight  float64 `json:"weight"`
	Mean    float64 `json:"mean"`
}

func newRatingsTask(da *Daemon) *ratingsTask {
	return &ratingsTask{daemon: da, choosers: map[string]*cascade.Chooser{}}
}

func (rt *ratingsTask) checkpointKey() store.Key { return rt.daemon.keys.Root + "ratings" }

// run implements task. The task is never done.
func (rt *ratingsTask) run(ctx context.Context, ho lease.Hold) bool {
	if !rt.loaded && !rt.loadCheckpoint(ctx) {
		return false
	}
	ras, err := rt.daemon.ratings.RatingsAfter(ctx, rt.checkpoint.Sequence)
	if err != nil {
		rt.daemon.log.Debug(event.RatingsUnreachable, err, nil)
		return false
	}
	for _, ra := range ras {
		rt.checkpoint.Sequence = max(rt.checkpoint.Sequence, ra.Sequence)
		rt.daemon.metrics.Quality.Record(ctx, ra.Quality, metric.With(metric.KeyVersion, ra.Version))
		if _, ok := rt.daemon.holder.Set().Cascades.ByID(policy.CascadeID(ra.Cascade)); ok {
			rt.addRating(ra.Cascade, ra.Work, ra.Version, ra.Quality)
		}
	}
	rt.publish(ho)
	if len(ras) > 0 && time.Since(rt.writtenAt) > checkpointInterval {
		rt.writeCheckpoint(ctx, ho)
	}
	return false
}

// addRating adds a rating to its sum. A cascade.Chooser computes it, because the
// entries' choosers take their estimates from the sums.
func (rt *ratingsTask) addRating(cascadeID, work, version string, quality float64) {
	ch, ok := rt.choosers[cascadeID]
	if !ok {
		ch = cascade.NewChooser(0)
		rt.choosers[cascadeID] = ch
	}
	su := rt.sum(cascadeID, work, version)
	ch.AddRating(cascade.WorkKind(work), policy.VersionID(version), quality)
	su.Weight, su.Mean = ch.Estimate(cascade.WorkKind(work), policy.VersionID(version))
}

// sum returns the sum of a cascade, kind of work and version, and adds it if there
// is none. The pointer is valid until the next call.
func (rt *ratingsTask) sum(cascadeID, work, version string) *ratingSum {
	for i := range rt.checkpoint.Sums {
		su := &rt.checkpoint.Sums[i]
		if su.Cascade == cascadeID && su.Work == work && su.Version == version {
			return su
		}
	}
	rt.checkpoint.Sums = append(rt.checkpoint.Sums, ratingSum{Cascade: cascadeID, Work: work, Version: version})
	return &rt.checkpoint.Sums[len(rt.checkpoint.Sums)-1]
}

// publish sends the sums to the entries, as one item per cascade.
func (rt *ratingsTask) publish(ho lease.Hold) {
	byCascade := map[string]*rpc.Ratings{}
	for _, su := range rt.checkpoint.Sums {
		ras, ok := byCascade[su.Cascade]
		if !ok {
			ras = &rpc.Ratings{}
			byCascade[su.Cascade] = ras
		}
		ras.Sums = append(ras.Sums, &rpc.RatingSum{Work: su.Work, Version: su.Version, Weight: su.Weight, Mean: su.Mean})
	}
	for cascadeID, ras := range byCascade {
		ve := peer.Version{Fence: int64(ho.Token), Sequence: time.Now().UnixNano()}
		rt.daemon.peers.PublishVersion(entry.RatingsPrefix+cascadeID, ve, ras)
	}
}

// loadCheckpoint reads the checkpoint from the store and reports whether the store was
// reached. A missing or unreadable checkpoint counts as an empty one.
func (rt *ratingsTask) loadCheckpoint(ctx context.Context) bool {
	pa, err := rt.daemon.store.Get(ctx, rt.checkpointKey())
	if err != nil {
		return false
	}
	rt.loaded = true
	if len(pa.KeyValues) == 0 || json.Unmarshal(pa.KeyValues[0].Value, &rt.checkpoint) != nil {
		return true
	}
	for _, su := range rt.checkpoint.Sums {
		ch, ok := rt.choosers[su.Cascade]
		if !ok {
			ch = cascade.NewChooser(0)
			rt.choosers[su.Cascade] = ch
		}
		ch.SetEstimate(cascade.WorkKind(su.Work), policy.VersionID(su.Version), su.Weight, su.Mean)
	}
	return true
}

// writeCheckpoint writes the checkpoint to the store, provided that the store still has
// the task's fencing token.
func (rt *ratingsTask) writeCheckpoint(ctx context.Context, ho lease.Hold) {
	value, err := json.Marshal(rt.checkpoint)
	if err != nil {
		return
	}
	fe := ho.Fence()
	_, err = rt.daemon.store.Apply(ctx, store.Commit{
		Compares: []store.Compare{{Key: fe.Key, ModRevision: fe.Token}},
		Puts:     []store.Put{{Key: rt.checkpointKey(), Value: value}},
	})
	if err == nil {
		rt.writtenAt = time.Now()
	}
}
