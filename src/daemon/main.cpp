// papayahookd: runs one node.
#include "codec/toml_reader.hpp"
#include "papayahook/run.hpp"
#include "runtime/logging.hpp"
#include "runtime/settings.hpp"

#include <cxxopts.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    papayahook::runtime::prepare_output();
    constexpr int usage_error = 2;
    cxxopts::Options options("papayahookd", "One node of papayahook");
    options.add_options()("config", "settings file (TOML)",
                          cxxopts::value<std::string>())(
        "check-config", "check the settings, print what is in force, exit")(
        "version", "print the version")("help", "print this text");
    try {
        auto const args = options.parse(argc, argv);
        if (args.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        if (args.count("version") != 0) {
            std::cout << "papayahookd " PAPAYAHOOK_VERSION "\n";
            return 0;
        }
        if (args.count("config") == 0 || !args.unmatched().empty()) {
            std::cerr << options.help();
            return usage_error;
        }
        auto const file = args["config"].as<std::string>();
        if (args.count("check-config") != 0) {
            std::cout << papayahook::runtime::show_settings(
                papayahook::runtime::read_settings(file));
            return 0;
        }
        return papayahook::run_node(file);
    }
    catch (papayahook::codec::config_error const& e) {
        std::cerr << e.what() << '\n';
    }
    catch (cxxopts::exceptions::exception const& e) {
        std::cerr << "papayahookd: " << e.what() << '\n';
    }
    return usage_error;
}
