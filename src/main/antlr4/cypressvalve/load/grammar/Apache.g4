// The format text of Apache's LogFormat: % [modifiers] [{argument}] directive, %% and text between.
// Modifiers: status codes, possibly negated by '!', and '<' or '>' for the first or last request of a redirect.
grammar Apache;

pieces: piece* EOF;
piece: PERCENT | DIRECTIVE | literal;
literal: TEXT+;

PERCENT: '%%';
DIRECTIVE: '%' ('!'? [0-9]+ (',' [0-9]+)*)? [<>]* ('!'? [0-9]+ (',' [0-9]+)*)? ('{' ~[}]* '}')? ('^' [a-z]+ | [A-Za-z]);
TEXT: ~'%'+;
