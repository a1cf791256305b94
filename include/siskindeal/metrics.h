#pragma once
// Prometheus metrics of the process. Names begin with "siskindeal_" and end
// with their unit.

#include <map>
#include <string>

namespace siskindeal {

using MetricLabels = std::map<std::string, std::string>;

// Adds to a counter, which is created on first use. Labels must have few
// values, such as a service, a reason or a verdict; never a request.
void
CountMetric(const std::string& aName,
            const MetricLabels& aLabels = {},
            double aAmount = 1);

// Sets a gauge, which is created on first use.
void
SetMetric(const std::string& aName,
          double aValue,
          const MetricLabels& aLabels = {});

// Records a duration in a histogram with buckets from 1 ms to 60 s.
void
ObserveSeconds(const std::string& aName,
               double aSeconds,
               const MetricLabels& aLabels = {});

// Returns the metrics of the process in the Prometheus text format.
std::string
MetricsText();

} // namespace siskindeal
