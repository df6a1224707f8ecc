// A URI template of a mapping: literal text, {name} for what holds no '/', {name*} for what may, {name:digits} for a
// number. The words are RFC 6570's; matching, not expansion, is what a mapping needs.
grammar Template;

template: part+ EOF;
part: LITERAL | VARIABLE;

VARIABLE: '{' [A-Za-z] [A-Za-z0-9]* ('*' | ':digits')? '}';
LITERAL: ~[{}]+;
