// Shared option parsing and file reading.
#include "cli/options.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace turmericwell {

namespace options = boost::program_options;
namespace fs = std::filesystem;

CommandLine parseCommandLine(std::span<const std::string> arguments, std::string_view name,
                             options::options_description description, const char *positional,
                             std::string_view notes)
{
    CommandLine result;
    description.add_options()("help", "print this help")("version", "print the version");
    options::positional_options_description positions;
    if (*positional != '\0')
        positions.add(positional, 1);
    try {
        options::store(
            options::command_line_parser(std::vector<std::string>(arguments.begin(), arguments.end()))
                .options(description)
                .positional(positions)
                .run(),
            result.values);
        if (result.values.contains("help")) {
            std::cout << "usage: turmericwell " << name << " [options]"
                      << (*positional != '\0' ? " " + std::string(positional) : "") << "\n\n"
                      << description << (notes.empty() ? "" : "\n") << notes;
            result.exit = ExitCode::Done;
            return result;
        }
        if (result.values.contains("version")) {
            std::cout << "turmericwell " << TW_VERSION << '\n';
            result.exit = ExitCode::Done;
            return result;
        }
        options::notify(result.values);
    } catch (const options::error &error) {
        std::cerr << "turmericwell " << name << ": " << error.what() << '\n';
        result.exit = ExitCode::BadUsage;
    }
    return result;
}

bool isFormat(std::string_view text)
{
    return text == "text" || text == "json";
}

std::optional<std::string> readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<DeclarationFile> readDeclarationFiles(const std::string &directory, Problems &problems)
{
    std::vector<DeclarationFile> files;
    std::error_code error;
    for (const fs::directory_entry &entry : fs::directory_iterator(directory, error)) {
        if (entry.path().extension() != ".json")
            continue;
        if (const std::optional<std::string> text = readFile(entry.path().string()))
            files.push_back({.name = entry.path().filename().string(), .text = *text});
        else
            problems.push_back({.file = entry.path().string(), .key = "(file)", .reason = "cannot be read"});
    }
    if (error)
        problems.push_back({.file = directory, .key = "(directory)", .reason = error.message()});
    else if (files.empty())
        problems.push_back({.file = directory, .key = "(directory)", .reason = "has no .json file"});
    std::sort(files.begin(), files.end(),
              [](const DeclarationFile &a, const DeclarationFile &b) { return a.name < b.name; });
    return files;
}

void printProblems(const Problems &problems)
{
    for (const Problem &problem : problems)
        std::cerr << problem.text() << '\n';
}

} // namespace turmericwell
