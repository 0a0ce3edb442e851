# Writes OUTPUT, a source file that holds the texts of FILES as raw strings.
set(entries "")
foreach(file ${FILES})
  get_filename_component(name ${file} NAME_WE)
  file(READ ${file} text)
  string(APPEND entries "      {\"${name}\", R\"chart(${text})chart\"},\n")
endforeach()
file(WRITE ${OUTPUT} "#include \"charts/charts.h\"

namespace jackdawturn {

const std::map<std::string, std::string>& BuiltInChartTexts() {
  static const std::map<std::string, std::string> texts = {
${entries}  };
  return texts;
}

}  // namespace jackdawturn
")
