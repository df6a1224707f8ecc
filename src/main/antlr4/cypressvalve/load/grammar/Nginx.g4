// The log_format directive of nginx: log_format name [escape=default|json|none] string ...;
// Strings stand one after another and count as one; other directives of the same file are passed over.
grammar Nginx;

file: item* EOF;
item: logFormat | other;
logFormat: LOG_FORMAT name=word ESCAPE? text+ SEMI;
other: (LOG_FORMAT | WORD | ESCAPE | text) (WORD | ESCAPE | text)* (SEMI | block);
block: OPEN item* CLOSE;
text: SINGLE | DOUBLE;
word: WORD | ESCAPE | SINGLE | DOUBLE;

LOG_FORMAT: 'log_format';
ESCAPE: 'escape=' ('default' | 'json' | 'none');
SINGLE: '\'' (~['\\] | '\\' .)* '\'';
DOUBLE: '"' (~["\\] | '\\' .)* '"';
SEMI: ';';
OPEN: '{';
CLOSE: '}';
COMMENT: '#' ~[\r\n]* -> skip;
WS: [ \t\r\n]+ -> skip;
WORD: (~[ \t\r\n;{}'"#\\] | '\\' .) (~[ \t\r\n;{}'"\\] | '\\' .)*;
