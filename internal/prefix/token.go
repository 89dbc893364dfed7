package prefix

// maxTokenBytes is the maximum length of a token without its leading white space, in
// bytes. Longer words count as several tokens.
const maxTokenBytes = 16

// CountTokens returns the number of tokens in a text. A token is a word with the
// white space before it; a word of more than 16 bytes counts as several tokens. Real
// engines use their own tokenisers. The count is used to size memory and to order
// queues, and need not be exact.
func CountTokens(text string) int {
	count := 0
	eachToken(text, func(int) bool {
		count++
		return true
	})
	return count
}

// eachToken calls visit with the end offset of each token until visit returns false.
func eachToken(text string, visit func(end int) bool) {
	length := 0
	for i := range len(text) {
		if length > 0 && (isSpace(text[i]) || length == maxTokenBytes) {
			if !visit(i) {
				return
			}
			length = 0
		}
		if !isSpace(text[i]) {
			length++
		}
	}
	if length > 0 {
		visit(len(text))
	}
}

func isSpace(b byte) bool {
	return b == ' ' || b == '\n' || b == '\t' || b == '\r'
}
