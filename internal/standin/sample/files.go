package sample

// Sizes of the samples under examples/requests.
const (
	filesSeed    = 1
	briefTrucks  = 135
	tabEntries   = 525
	briefOutput  = 440
	tabOutput    = 150
	lintangModel = "planner-lm"
	tabModel     = "lector-cuentas"
)

// Files returns the request bodies of the files in examples/requests by file name.
func Files() map[string]any {
	return map[string]any{
		"lintang-brief.json":           Completion{Model: lintangModel, Prompt: Brief(filesSeed, briefTrucks), MaxTokens: briefOutput},
		"lintang-ping.json":            Ping(filesSeed),
		"association-tab-history.json": Completion{Model: tabModel, Prompt: TabHistory(filesSeed, tabEntries), MaxTokens: tabOutput},
		"association-tip.json":         Tip(filesSeed),
	}
}
