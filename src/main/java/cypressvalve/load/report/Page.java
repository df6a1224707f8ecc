package cypressvalve.load.report;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** One HTML file with all that it shows inside it. */
final class Page {
    private final StringBuilder body = new StringBuilder();
    private final String title;

    Page(String title) {
        this.title = title;
    }

    /** Text with the characters that HTML reads as its own written out. */
    static String text(String plain) {
        return plain.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }

    Page heading(String words) {
        body.append("<h2>").append(text(words)).append("</h2>\n");
        return this;
    }

    Page pre(String words) {
        body.append("<pre>").append(text(words)).append("</pre>\n");
        return this;
    }

    Page raw(String html) {
        body.append(html);
        return this;
    }

    /** A table whose first row is its head. */
    Page table(java.util.List<String[]> rows) {
        body.append("<table>\n");
        for (int i = 0; i < rows.size(); i++) {
            body.append("<tr>");
            for (String cell : rows.get(i)) {
                body.append(i == 0 ? "<th>" : "<td>").append(text(cell)).append(i == 0 ? "</th>" : "</td>");
            }
            body.append("</tr>\n");
        }
        body.append("</table>\n");
        return this;
    }

    void write(Path to) throws IOException {
        String html = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + text(title)
            + "</title>\n<style>body{font-family:sans-serif;margin:2em;max-width:60em}"
            + "td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}"
            + "td:first-child,th:first-child{text-align:left}img{max-width:100%}</style></head>\n<body><h1>"
            + text(title) + "</h1>\n" + body + "</body></html>\n";
        Files.write(to, html.getBytes(StandardCharsets.UTF_8));
    }
}
