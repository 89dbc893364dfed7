package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// metricPrefix is the name prefix of the counters that a report contains.
const metricPrefix = "oriolebend_"

// scrape reads the router's counters from all URLs and sums them by name, with the
// values of the labels reason and event.
func scrape(ctx context.Context, urls []string) (map[string]float64, error) {
	sums := map[string]float64{}
	for _, url := range urls {
		if err := scrapeOne(ctx, url, sums); err != nil {
			return nil, fmt.Errorf("scrape %s: %w", url, err)
		}
	}
	return sums, nil
}

func scrapeOne(ctx context.Context, url string, sums map[string]float64) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return addCounters(response.Body, sums)
}

func addCounters(text io.Reader, sums map[string]float64) error {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(text)
	if err != nil {
		return err
	}
	for name, family := range families {
		if !strings.HasPrefix(name, metricPrefix) {
			continue
		}
		for _, metric := range family.GetMetric() {
			if metric.GetCounter() == nil {
				continue
			}
			key := strings.TrimPrefix(name, metricPrefix)
			for _, label := range metric.GetLabel() {
				if label.GetName() == "reason" || label.GetName() == "event" {
					key += "/" + label.GetValue()
				}
			}
			sums[key] += metric.GetCounter().GetValue()
		}
	}
	return nil
}

// increases returns the counters that increased between two scrapes, with the increase.
func increases(before, after map[string]float64) map[string]float64 {
	increased := map[string]float64{}
	for key, value := range after {
		if increase := value - before[key]; increase > 0 {
			increased[key] = increase
		}
	}
	return increased
}
