// What stands inside a log_format: variables, $name or ${name}, and the text between them.
grammar NginxText;

pieces: piece* EOF;
piece: VARIABLE | BRACED | literal;
literal: (TEXT | DOLLAR)+;

VARIABLE: '$' [A-Za-z0-9_]+;
BRACED: '${' [A-Za-z0-9_]+ '}';
DOLLAR: '$';
TEXT: ~'$'+;
