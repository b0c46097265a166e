package placement

const (
	// popularityGrowth is the weight of a request relative to the one before it.
	// Instead of decaying the old counts, each new request counts for more, so
	// older requests are outweighed within a few hundred requests.
	popularityGrowth = 1 / 0.99
	// maxPopularityWeight is the weight of a request above which all counts are
	// scaled down.
	maxPopularityWeight = 1e9
	// minPopularityCount is the count, in requests, below which a prefix is dropped.
	minPopularityCount = 0.01
)

// popularity measures the share of requests that ask for each prefix, with
// exponential decay. Its zero value is empty and ready to use.
type popularity struct {
	counts map[Prefix]float64
	total  float64
	// weight is the weight of the most recent request.
	weight float64
}

// record counts a request for a prefix, and returns the prefix's share of the
// requests, from 0 to 1.
func (po *popularity) record(pr Prefix) float64 {
	if po.counts == nil {
		po.counts, po.weight = map[Prefix]float64{}, 1
	}
	po.weight *= popularityGrowth
	po.total += po.weight
	po.counts[pr] += po.weight
	if po.weight > maxPopularityWeight || len(po.counts) > maxRecentPrefixes {
		po.rescale()
	}
	return po.counts[pr] / po.total
}

// rescale scales all counts so that weight is 1 again, and drops those below
// minPopularityCount.
func (po *popularity) rescale() {
	po.total /= po.weight
	for pr, count := range po.counts {
		count /= po.weight
		if count < minPopularityCount {
			delete(po.counts, pr)
			continue
		}
		po.counts[pr] = count
	}
	po.weight = 1
}
