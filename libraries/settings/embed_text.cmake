# Writes the C++ source OUTPUT, which defines jackdawturn::CONSTANT as the text
# of the file INPUT. Run with `cmake -P`.
file(READ ${INPUT} text)
string(FIND "${text}" ")embedded\"" delimiter)
if(NOT delimiter EQUAL -1)
  message(FATAL_ERROR "${INPUT} contains the delimiter of the raw string")
endif()
file(WRITE ${OUTPUT} "#include <string_view>

namespace jackdawturn {

extern const std::string_view ${CONSTANT};
const std::string_view ${CONSTANT} = R\"embedded(${text})embedded\";

}  // namespace jackdawturn
")
