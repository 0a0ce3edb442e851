#pragma once

#include <string>
#include <vector>

#include "observe/timeline_event.h"

namespace jackdawturn {

// Each function takes events in the order of MergeTimelines. Texts of events
// are escaped, control characters and bytes that are not UTF-8 are replaced,
// and the pages refer to nothing outside themselves. All are thread-safe.

// Returns one key=value line for each event.
std::string RenderText(const std::vector<TimelineEvent>& events);

// Returns `{"events": [...], "failovers": [...]}`, which ReadEvents reads.
std::string RenderJson(const std::vector<TimelineEvent>& events);

// Returns an SVG image: a bar for each group whose primary changed, with its
// terms and gaps, and a lane for each process.
std::string RenderSvg(const std::vector<TimelineEvent>& events);

// Returns an HTML page with the changes of primary, the image of RenderSvg and
// a table of the events.
std::string RenderHtml(const std::vector<TimelineEvent>& events);

}  // namespace jackdawturn
