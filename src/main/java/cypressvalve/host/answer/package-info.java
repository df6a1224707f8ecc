/**
 * Whether a media host's answer is whole and an answer to what was offered, before anything is done with it. Free of I/O and clocks.
 */
package cypressvalve.host.answer;
