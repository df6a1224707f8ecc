// LogFormat and CustomLog lines of an Apache configuration; all other lines are passed over.
grammar ApacheConfig;

file: line* EOF;
line: LOG_FORMAT format=arg name=arg? NL+
    | CUSTOM_LOG arg format=arg arg* NL+
    | other NL+
    | NL;
other: arg+;
arg: QUOTED | WORD;

LOG_FORMAT: [Ll][Oo][Gg][Ff][Oo][Rr][Mm][Aa][Tt];
CUSTOM_LOG: [Cc][Uu][Ss][Tt][Oo][Mm][Ll][Oo][Gg];
QUOTED: '"' (~["\\\r\n] | '\\' ('\r'? '\n' | .))* '"';
COMMENT: '#' ~[\r\n]* -> skip;
CONTINUED: '\\' '\r'? '\n' -> skip;
WS: [ \t]+ -> skip;
NL: '\r'? '\n';
WORD: ~[ \t\r\n"#] ~[ \t\r\n]*;
