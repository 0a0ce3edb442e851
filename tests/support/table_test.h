#pragma once

#include <cstddef>
#include <iterator>

#include <criterion/criterion.h>
#include <criterion/new/memory.h>
#include <criterion/parameterized.h>

namespace jackdawturn {

// Criterion runs each case in a process of its own, where pointers of the
// runner are not valid; so a case gets the index of its row only.
inline criterion_test_params RowIndexes(size_t count) {
  static size_t indexes[1024];
  for (size_t index = 0; index < count && index < std::size(indexes); ++index)
    indexes[index] = index;
  return cr_make_param_array(size_t, indexes, count);
}

}  // namespace jackdawturn

// Runs the body that follows once for each row of the array `rows`; `row_index`
// points to the index of the row. Use it outside of unnamed namespaces.
#define TABLE_TEST(suite, name, rows)                  \
  ParameterizedTestParameters(suite, name) {           \
    return ::jackdawturn::RowIndexes(std::size(rows)); \
  }                                                    \
  ParameterizedTest(size_t* row_index, suite, name)
