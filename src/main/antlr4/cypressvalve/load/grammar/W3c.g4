// A directive line of a W3C extended log (W3C working draft WD-logfile-960323): #Name: rest.
grammar W3c;

line: HASH NAME COLON value* EOF;
value: NAME | PREFIXED | OTHER;

HASH: '#';
COLON: ':';
PREFIXED: [A-Za-z0-9_-]+ '(' ~[)\r\n]* ')';
NAME: [A-Za-z] [A-Za-z0-9_.-]*;
WS: [ \t]+ -> skip;
OTHER: ~[ \t\r\n#:A-Za-z] ~[ \t\r\n]*;
