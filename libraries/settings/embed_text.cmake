# Writes the C++ source OUTPUT, which defines jackdawturn::CONSTANT as the text
# of the file INPUT. Run with `cmake -P`.
file(READ ${INPUT} text)
string(FIND "${text}" ")embedded\"" delimiter)
if(NOT delimiter EQUAL -1)
  message(FATAL_ERROR "${INPUT} contains the delimiter of the raw string")
endif()
file(WRITE ${OUTPUT} "#include <string_view>

namespace jackdawturn {

// Gives the constant external linkage also where no header declares it.
// NOLINTNEXTLINE(readability-redundant-declaration)
extern const std::string_view ${CONSTANT};
const std::string_view ${CONSTANT} = R\"embedded(${text})embedded\";

}  // namespace jackdawturn
")
