/** Responses for tests that no client may take for an answer, since their heads break HTTP/1.1 (RFC 9110, 5.5 and 15; RFC 9112, 4 and 5). */
#pragma once

#include <string>
#include <vector>

namespace lycheecleat
{

/** A response whose head or framing is not valid. */
struct BrokenResponse
{
    std::string title_;
    std::string bytes_;
};

/** A table of responses that are whole but broken. The given header lines, each with its line end, and the body are valid and stand in each of them. */
[[nodiscard]] inline auto brokenResponses(const std::string &lines, const std::string &body) -> std::vector<BrokenResponse>
{
    const auto start = std::string("HTTP/1.1 200 OK\r\n");
    const auto length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const auto end = lines + length + "\r\n" + body;
    const auto whole = start + end;
    auto responses = std::vector<BrokenResponse> {
        { "status 000 without a length", "HTTP/1.1 000 X\r\n" + lines + "\r\n" + body },
        { "status 000 before the response", "HTTP/1.1 000 X\r\n\r\n" + whole },
        { "status 000 after an informational response", "HTTP/1.1 103 E\r\n\r\nHTTP/1.1 000 X\r\n" + end },
        { "informational response with a blank in a name", "HTTP/1.1 103 E\r\nA B: 1\r\n\r\n" + whole },
        { "informational response with a control byte in a name", "HTTP/1.1 103 E\r\nA\x01: 1\r\n\r\n" + whole },
        { "informational response with a body", "HTTP/1.1 103 E\r\nContent-Length: 2\r\n\r\nok" + whole },
        { "blank in the name of a trailer field", start + lines + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA B: 1\r\n\r\n" },
        { "control byte in the name of a trailer field", start + lines + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA\x01: 1\r\n\r\n" },
    };
    for (const auto *status :
         { "000 X", "000", "000 ", "00 X", "0 X", "099 X", "600 X", "999 X", "1000 X", "0200 OK", "-20 X", "+200 OK", "2x0 X", " 200 OK" }) {
        responses.push_back({ std::string("status ") + status, "HTTP/1.1 " + std::string(status) + "\r\n" + end });
    }
    const auto nul = std::string("\0", 1);
    const auto badLines = std::vector<BrokenResponse> {
        { "blank in a name", "A B: 1" },
        { "tab in a name", "A\tB: 1" },
        { "control byte in a name", "A\x01: 1" },
        { "NUL in a name", "A" + nul + ": 1" },
        { "DEL in a name", "A\x7f: 1" },
        { "byte above 0x7f in a name", "A\x80: 1" },
        { "parenthesis in a name", "A(: 1" },
        { "blank before the colon", "A : 1" },
        { "tab before the colon", "A\t: 1" },
        { "blank in the name of the length", "Content Length: 1" },
        { "blank after the name of the length", "Content-Length : 1" },
        { "blank after the name of the coding", "Transfer-Encoding : chunked" },
        { "leading blank", " A: 1" },
        { "leading tab", "\tA: 1" },
        { "no name", ": 1" },
        { "no colon", "A" },
        { "bare carriage return in a name", "A\rB: 1" },
        { "bare carriage return in a value", "A: 1\rB: 2" },
        { "control byte in a value", "A: \x01" },
        { "NUL in a value", "A: " + nul },
        { "DEL in a value", "A: \x7f" },
    };
    for (const auto &[title, line] : badLines) {
        responses.push_back({ title + ", first line", start + line + "\r\n" + end });
        responses.push_back({ title + ", last line", start + lines + length + line + "\r\n\r\n" + body });
    }
    return responses;
}

/** A response that never ends: a prefix, and bytes that are repeated after it. */
struct EndlessResponse
{
    std::string title_;
    std::string prefix_;
    std::string repeated_;
};

/** A table of endless responses. The given header lines, each with its line end, stand in the heads of those that have one. */
[[nodiscard]] inline auto endlessResponses(const std::string &lines) -> std::vector<EndlessResponse>
{
    const auto head = "HTTP/1.1 200 OK\r\n" + lines;
    const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        { "no line end", "", "x" },
        { "no line end after a valid start", "HTTP/1.1 200 ", "x" },
        { "binary data", "", std::string("\0\xff\x80", 3) },
        { "empty lines", "", "\r\n" },
        { "empty lines after a bare line feed", "\n", "\r\n" },
        { "header lines", head, "A: b\r\n" },
        { "header lines that differ", head, "A" + std::string(200, 'a') + ": b\r\n" },
        { "one header line", head + "A: ", "b" },
        { "header lines without a colon", head, "A\r\n" },
        { "informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "a body delimited by the close of the connection", head + "\r\n", "x" },
        { "chunks", chunked, "1\r\nx\r\n" },
        { "chunk extensions", chunked, "1;" + std::string(8000, 'e') + "\r\nx\r\n" },
        { "one chunk extension", chunked + "1;", "e" },
        { "one chunk size", chunked, "0" },
        { "one chunk", chunked + "7fffffff\r\n", "x" },
        { "trailer lines", chunked + "0\r\n", "A: b\r\n" },
        { "a huge content length", head + "Content-Length: 9000000000\r\n\r\n", "x" },
    };
}

}
