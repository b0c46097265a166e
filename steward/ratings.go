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

// checkpointInterval is the minimum time between two writes of the sums to the
// store.
const checkpointInterval = 15 * time.Second

// ratingsTask reads new ratings from the rating service and publishes their sums
// to the entries. It also writes the sums to the store, from which the next lease
// holder continues.
type ratingsTask struct {
	daemon    *Daemon
	sums      checkpoint
	loaded    bool
	writtenAt time.Time
	choosers  map[string]*cascade.Chooser
}

// checkpoint is the task's state in the store, encoded as JSON. Sequence is that
// of the last rating read.
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

func (rt *ratingsTask) key() store.Key { return rt.daemon.keys.Root + "ratings" }

// run implements task. The task is never done.
func (rt *ratingsTask) run(ctx context.Context, ho lease.Hold) bool {
	if !rt.loaded && !rt.loadCheckpoint(ctx) {
		return false
	}
	ras, err := rt.daemon.ratings.RatingsAfter(ctx, rt.sums.Sequence)
	if err != nil {
		rt.daemon.log.Debug(event.RatingsUnreachable, err, nil)
		return false
	}
	for _, ra := range ras {
		rt.sums.Sequence = max(rt.sums.Sequence, ra.Sequence)
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

// addRating adds a rating to its sum. The arithmetic is that of
// cascade.Chooser, because entries set their estimates to the sums.
func (rt *ratingsTask) addRating(name, work, version string, quality float64) {
	ch, ok := rt.choosers[name]
	if !ok {
		ch = cascade.NewChooser(0)
		rt.choosers[name] = ch
	}
	su := rt.sum(name, work, version)
	ch.AddRating(cascade.WorkKind(work), policy.VersionID(version), quality)
	su.Weight, su.Mean = ch.Estimate(cascade.WorkKind(work), policy.VersionID(version))
}

// sum returns the sum of a cascade, kind of work and version, and adds it if there
// is none. The pointer is valid until the next call.
func (rt *ratingsTask) sum(name, work, version string) *ratingSum {
	for i := range rt.sums.Sums {
		su := &rt.sums.Sums[i]
		if su.Cascade == name && su.Work == work && su.Version == version {
			return su
		}
	}
	rt.sums.Sums = append(rt.sums.Sums, ratingSum{Cascade: name, Work: work, Version: version})
	return &rt.sums.Sums[len(rt.sums.Sums)-1]
}

// publish sends the sums to the entries, as one item per cascade.
func (rt *ratingsTask) publish(ho lease.Hold) {
	byCascade := map[string]*rpc.Ratings{}
	for _, su := range rt.sums.Sums {
		ras, ok := byCascade[su.Cascade]
		if !ok {
			ras = &rpc.Ratings{}
			byCascade[su.Cascade] = ras
		}
		ras.Sums = append(ras.Sums, &rpc.RatingSum{Work: su.Work, Version: su.Version, Weight: su.Weight, Mean: su.Mean})
	}
	for name, ras := range byCascade {
		ve := peer.Version{Fence: int64(ho.Token), Sequence: time.Now().UnixNano()}
		rt.daemon.peers.PublishVersion(entry.RatingsPrefix+name, ve, ras)
	}
}

// loadCheckpoint reads the sums from the store and reports whether the store was
// reached. A missing or unreadable checkpoint counts as an empty one.
func (rt *ratingsTask) loadCheckpoint(ctx context.Context) bool {
	pa, err := rt.daemon.store.Get(ctx, rt.key())
	if err != nil {
		return false
	}
	rt.loaded = true
	if len(pa.KeyValues) == 0 || json.Unmarshal(pa.KeyValues[0].Value, &rt.sums) != nil {
		return true
	}
	for _, su := range rt.sums.Sums {
		ch, ok := rt.choosers[su.Cascade]
		if !ok {
			ch = cascade.NewChooser(0)
			rt.choosers[su.Cascade] = ch
		}
		ch.SetEstimate(cascade.WorkKind(su.Work), policy.VersionID(su.Version), su.Weight, su.Mean)
	}
	return true
}

// writeCheckpoint writes the sums to the store, if the task's lease is still held.
func (rt *ratingsTask) writeCheckpoint(ctx context.Context, ho lease.Hold) {
	value, err := json.Marshal(rt.sums)
	if err != nil {
		return
	}
	fe := ho.Fence()
	_, err = rt.daemon.store.Apply(ctx, store.Commit{
		Compares: []store.Compare{{Key: fe.Key, ModRevision: fe.Token}},
		Puts:     []store.Put{{Key: rt.key(), Value: value}},
	})
	if err == nil {
		rt.writtenAt = time.Now()
	}
}
