package ranks

const (
	// routeRanks is the number of ranks of routes that are distinguished within the same rank of an
	// organisation.
	routeRanks = 10
	// maxRank bounds the rank of an organisation, so that its product with routeRanks does not
	// overflow.
	maxRank = 1 << 20
)

// Combine returns the rank of a request among those of all organisations. The rank of the
// organisation goes first. The rank of the route then orders requests of equal organisations: their
// least urgent requests must not compete as equal with their most urgent ones.
func Combine(organisation, route int) int {
	organisation = max(-maxRank, min(organisation, maxRank))
	return organisation*routeRanks + max(0, min(route, routeRanks-1))
}
