#include "request/httpfields.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

struct EncodingCase
{
    std::string text_;
    std::string kept_;
    std::string encoded_;
};

struct QueryCase
{
    std::string title_;
    std::string target_;
    std::string value_;
};

}

// Guards against lookups and explanations that read another parameter than the caller sent, or read past the end of the query.
TEST_CASE("a query parameter is found by its name and decoded")
{
    const auto cases = std::vector<QueryCase> {
        { "the only one", "/p?zone=a", "a" },
        { "after others", "/p?name=x&region=y&zone=a", "a" },
        { "before others", "/p?zone=a&name=x", "a" },
        { "percent-encoded", "/p?zone=a%2Db%20c", "a-b c" },
        { "with an equals sign in the value", "/p?zone=a=b", "a=b" },
        { "repeated: the first", "/p?zone=a&zone=b", "a" },
        { "empty parameters", "/p?&&zone=a&", "a" },
        { "without a value", "/p?zone&name=x", "" },
        { "with an empty value", "/p?zone=", "" },
        { "another with the same start", "/p?zones=a", "" },
        { "another with the same end", "/p?azone=a", "" },
        { "empty query", "/p?", "" },
        { "no query", "/zone=a", "" },
        { "empty target", "", "" },
    };
    for (const auto &queryCase : cases) {
        CAPTURE(queryCase.title_);
        CHECK(queryParameter(queryCase.target_, "zone") == queryCase.value_);
    }
}

// Guards against keys that are altered by encoding, or that end a path or a query parameter early.
TEST_CASE("an encoded text decodes to itself")
{
    const auto cases = std::vector<EncodingCase> {
        { "", "", "" },
        { "aZ09-._~", "", "aZ09-._~" },
        { "op/config", "", "op%2Fconfig" },
        { "op/config a", "/", "op/config%20a" },
        { "a&b=c?d#e%20+", "", "a%26b%3Dc%3Fd%23e%2520%2B" },
        { std::string("\r\n\0\xff", 4), "", "%0D%0A%00%FF" },
    };
    for (const auto &encodingCase : cases) {
        CAPTURE(encodingCase.text_);
        const auto encoded = percentEncoded(encodingCase.text_, encodingCase.kept_);
        CHECK(encoded == encodingCase.encoded_);
        CHECK(percentDecoded(encoded) == encodingCase.text_);
    }
}
