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

// checkpointInterval is the time between writes of the sums to the store.
const checkpointInterval = 15 * time.Second

// ratingsTask gathers ratings and tells the entries of their sums. The sums
// are kept in the store, for the next holder.
type ratingsTask struct {
	daemon    *Daemon
	sums      checkpoint
	loaded    bool
	writtenAt time.Time
	choosers  map[string]*cascade.Chooser
}

// checkpoint is what the store keeps.
type checkpoint struct {
	Sequence int64     `json:"sequence"`
	Sums     []sumItem `json:"sums"`
}

type sumItem struct {
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

// look implements task.
func (rt *ratingsTask) look(ctx context.Context, ho lease.Hold) bool {
	if !rt.loaded && !rt.load(ctx) {
		return false
	}
	ras, err := rt.daemon.ratings.After(ctx, rt.sums.Sequence)
	if err != nil {
		rt.daemon.log.Debug(event.RatingsUnreachable, err, nil)
		return false
	}
	for _, ra := range ras {
		rt.sums.Sequence = max(rt.sums.Sequence, ra.Sequence)
		rt.daemon.metrics.Quality.Record(ctx, ra.Quality, metric.With(metric.KeyVersion, ra.Version))
		if _, ok := rt.daemon.holder.Set().Cascades.ByID(policy.CascadeID(ra.Cascade)); ok {
			rt.add(ra.Cascade, ra.Work, ra.Version, ra.Quality)
		}
	}
	rt.publish(ho)
	if len(ras) > 0 && time.Since(rt.writtenAt) > checkpointInterval {
		rt.write(ctx, ho)
	}
	return false
}

// add takes in a rating, with the chooser's own arithmetic.
func (rt *ratingsTask) add(name, work, version string, quality float64) {
	ch, ok := rt.choosers[name]
	if !ok {
		ch = cascade.NewChooser(0)
		rt.choosers[name] = ch
	}
	su := rt.sum(name, work, version)
	ch.AddRating(cascade.WorkKind(work), policy.VersionID(version), quality)
	su.Weight, su.Mean = ch.Estimate(cascade.WorkKind(work), policy.VersionID(version))
}

func (rt *ratingsTask) sum(name, work, version string) *sumItem {
	for i := range rt.sums.Sums {
		su := &rt.sums.Sums[i]
		if su.Cascade == name && su.Work == work && su.Version == version {
			return su
		}
	}
	rt.sums.Sums = append(rt.sums.Sums, sumItem{Cascade: name, Work: work, Version: version})
	return &rt.sums.Sums[len(rt.sums.Sums)-1]
}

// publish tells the entries of the sums, a cascade an item.
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

func (rt *ratingsTask) load(ctx context.Context) bool {
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

// write keeps the sums in the store, while the lease is held.
func (rt *ratingsTask) write(ctx context.Context, ho lease.Hold) {
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
