package answer

// words are the possible tokens after the first one. Each begins with a space. The array
// must not be modified.
var words = [...]string{
	" the", " route", " by", " road", " is", " open", " to", " trucks",
	" under", " ten", " tonnes", " until", " noon", " bridge", " load", " allows",
	" two", " axles", " convoy", " leaves", " depot", " with", " medicine", " water",
	" and", " tents", " for", " camp", " north", " south", " east", " west",
	" hold", " at", " checkpoint", " then", " follow", " river", " detour", " after",
	" landslide", " report", " of", " this", " morning", " fuel", " stop", " near",
	" market", " tab", " split", " evenly", " tip", " goes", " waiter", " table",
	" card", " total", " disputed", " item", " refund", " patron", " settled", " tonight",
}
