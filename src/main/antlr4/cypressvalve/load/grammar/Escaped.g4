// A logged text as servers escape it: \xHH for a byte, \uHHHH, \n \r \t \b \f \v, \" and \\ and \/.
grammar Escaped;

text: part* EOF;
part: BYTE | UNIT | SHORT | PLAIN;

BYTE: '\\x' HEX HEX;
UNIT: '\\u' HEX HEX HEX HEX;
SHORT: '\\' [nrtbfv"\\/'];
PLAIN: ~'\\'+;
fragment HEX: [0-9A-Fa-f];
