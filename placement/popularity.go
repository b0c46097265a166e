package placement

const (
	// popularityGrowth is by how much the next request for a prefix counts
	// more than the one before: older ones fade within some hundred requests.
	popularityGrowth = 1 / 0.99
	// popularityScale is the weight at which all counts are scaled down.
	popularityScale = 1e9
	// faded is the part of one request below which a count is dropped.
	faded = 0.01
)

// popularity counts what part of the requests asks for each prefix, the recent
// ones above all. Its zero value is empty.
type popularity struct {
	counts map[Prefix]float64
	total  float64
	// weight is what the next request counts.
	weight float64
}

// note counts a request for a prefix, and gives the part that now asks for it,
// from 0 to 1.
func (po *popularity) note(pr Prefix) float64 {
	if po.counts == nil {
		po.counts, po.weight = map[Prefix]float64{}, 1
	}
	po.weight *= popularityGrowth
	po.total += po.weight
	po.counts[pr] += po.weight
	if po.weight > popularityScale || len(po.counts) > maxRemembered {
		po.scale()
	}
	return po.counts[pr] / po.total
}

// scale brings the next weight back to 1 and drops the faded counts.
func (po *popularity) scale() {
	po.total /= po.weight
	for pr, count := range po.counts {
		count /= po.weight
		if count < faded {
			delete(po.counts, pr)
			continue
		}
		po.counts[pr] = count
	}
	po.weight = 1
}
