/*
 * The leader lease between two candidates, where a release is applied by the store at
 * any time after it was sent, or never, and its answer may be lost. The time for which
 * a lease lasts is left out: only a release makes room for the other candidate.
 *
 * Checked: the tokens of orders never fall, also at an engine that does not check them.
 */
#define RELEASES 3

byte holder = 0;      /* row of the store: candidate that holds the lease; 0: released */
byte token = 0;
byte version = 0;     /* of the row, rises with each write */
byte lastToken = 0;   /* of the orders so far */
byte releases = 0;

proctype candidate(byte self)
{
	byte mine = 0;         /* token, while the candidate takes the lease for its own */
	byte read = 0;         /* version of the row that it knows */
	bool sent = false;     /* a release is under way, under the condition of version sentAt */
	bool acts = false;     /* whether it gives orders */
	byte sentAt = 0;
endCandidate:
	do
	:: atomic { holder == 0 && token < 3 && mine == 0 && !sent -> holder = self; token++; version++; mine = token; read = version; acts = true }
	:: atomic { mine > 0 && acts -> assert(mine >= lastToken); lastToken = mine } /* an order */
	:: atomic { mine > 0 && acts && !sent && releases < RELEASES ->
		releases++; sent = true; sentAt = read;
#ifndef ACT_UNTIL_ANSWERED
		acts = false
#endif
		}
	:: atomic { sent && version == sentAt -> version++; holder = 0; sent = false } /* applied, the answer is lost */
	:: atomic { sent && version == sentAt -> version++; holder = 0; sent = false; mine = 0; acts = false }
	:: atomic { sent -> sent = false } /* lost */
	:: atomic { mine > 0 && !acts && holder == self && read == version -> version++; read = version; acts = true } /* renewed */
	:: atomic { mine > 0 && holder != self -> mine = 0; acts = false } /* read back */
	od
}

init
{
	atomic { run candidate(1); run candidate(2) }
}
