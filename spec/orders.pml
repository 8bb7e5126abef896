/* Order claim (section 6 of docs/design.md): two handlers receive the same
 * order, each up to ATTEMPTS times. A handler claims the row, resolves a lost
 * answer by reading its token back, sends once and records the outcome. It may
 * crash or pause at any point; commits may fail, take effect without an answer
 * or take effect late; the table may be down for any read or commit. The
 * operator resolves a claim that nobody completes.
 *
 * Broken variants: LOST_MEANS_FAILED (a lost commit is retried without reading
 * back), LOST_MEANS_DONE (it is taken as the claim), RESEND (a request without
 * an answer is sent again), RELEASE_UNKNOWN (the claim is released although
 * bytes may have been sent), OPERATOR_EARLY (a claim is resolved while its owner
 * may still send), NO_SEND_BOUND (an owner sends however late it is).
 */
#define ATTEMPTS 2
#define BOUND 2       /* ticks after the claim was sent in which its owner may send */
#ifdef OPERATOR_EARLY
#define PATIENCE 0
#else
#define PATIENCE (BOUND + 1)   /* ticks the operator waits after it first saw the claim */
#endif

mtype = { idle, claiming, lost, owned, sent, unsure, unreachable };

#define FREE 0
#define CLAIMED 1
#define DONE 2
#define RAN 3         /* recorded by the operator */
byte row = FREE;
byte token = 0;       /* of the claim, 0 for none */
byte seen = 0;        /* ticks since the operator first saw the claim, saturated */
bit watched = 0;

mtype at[2] = idle;
byte tries[2];
byte mine[2];         /* token of the current attempt: 1, 2 and 3, 4 */
byte life[2];         /* ticks in which it may still send */
bit late[2];          /* a claim commit under way without an answer */
byte lateToken[2];
bit wire[2];          /* the request is on its way to the upstream */

byte runs = 0;        /* executions at the upstream */
byte toldNotRun = 0;  /* bit per token: the caller was told that it did not run */

#define BIT(t) (1 << (t))
inline notRun(h) { toldNotRun = toldNotRun | BIT(mine[h]); at[h] = idle }
inline take(t) { row = CLAIMED; token = t; seen = 0; watched = 0 }
inline clearRow() { row = FREE; token = 0; seen = 0; watched = 0 }

proctype Handler(byte h) {
	do
	/* a caller's request arrives */
	:: d_step { at[h] == idle && tries[h] < ATTEMPTS ->
		tries[h]++; mine[h] = 2 * h + tries[h]; life[h] = BOUND; at[h] = claiming }
	/* claim: taken, refused because of a claim or a record, table down, answer
	 * lost with or without effect, answer lost and effect late */
	:: d_step { at[h] == claiming && row == FREE -> take(mine[h]); at[h] = owned }
	:: d_step { at[h] == claiming && row != FREE -> at[h] = idle }
	:: d_step { at[h] == claiming -> notRun(h) }
	:: d_step { at[h] == claiming && row == FREE -> take(mine[h]); at[h] = lost }
	:: d_step { at[h] == claiming -> at[h] = lost }
	:: d_step { at[h] == claiming && !late[h] -> late[h] = 1; lateToken[h] = mine[h]; at[h] = lost }
	:: d_step { late[h] && row == FREE -> take(lateToken[h]); late[h] = 0 }
	:: d_step { late[h] -> late[h] = 0 }
#ifdef LOST_MEANS_DONE
	:: d_step { at[h] == lost -> at[h] = owned }
#endif
#ifdef LOST_MEANS_FAILED
	:: d_step { at[h] == lost && tries[h] < ATTEMPTS -> tries[h]++; mine[h] = 2 * h + tries[h]; at[h] = claiming }
	:: d_step { at[h] == lost && row == CLAIMED -> token = mine[h]; at[h] = owned }
#endif
	/* read back: own token, another one, nothing or no answer. Without the own
	 * token nothing is sent, so "not run" is true even if the commit is late. */
	:: d_step { at[h] == lost && row == CLAIMED && token == mine[h] -> at[h] = owned }
	:: d_step { at[h] == lost && row != FREE && token != mine[h] -> at[h] = idle }
	:: d_step { at[h] == lost -> notRun(h) }
	/* send once, within the bound */
#ifdef NO_SEND_BOUND
	:: d_step { at[h] == owned -> wire[h] = 1; at[h] = sent }
#else
	:: d_step { at[h] == owned && life[h] > 0 -> wire[h] = 1; at[h] = sent }
	:: d_step { at[h] == owned && life[h] == 0 -> at[h] = unreachable }
#endif
	/* the request arrives while the connection is open */
	:: d_step { wire[h] ->
		wire[h] = 0; runs++;
		assert(runs <= 1);
		assert(!(toldNotRun & BIT(mine[h]))) }
	/* answer of the upstream, then record; the record may fail */
	:: d_step { at[h] == sent && !wire[h] && row == CLAIMED && token == mine[h] -> row = DONE; at[h] = idle }
	:: d_step { at[h] == sent && !wire[h] -> at[h] = idle }
	/* no answer: the connection is closed, the outcome is unknown */
	:: d_step { at[h] == sent -> wire[h] = 0; at[h] = unsure }
#ifdef RESEND
	:: d_step { at[h] == unsure -> wire[h] = 1; at[h] = sent }
#endif
#ifdef RELEASE_UNKNOWN
	:: d_step { at[h] == unsure -> at[h] = unreachable }
#endif
	:: d_step { at[h] == unsure -> at[h] = idle }
	/* no connection: release the own claim, whether or not that succeeds */
	:: d_step { at[h] == owned -> at[h] = unreachable }
	:: d_step { at[h] == unreachable && row == CLAIMED && token == mine[h] -> clearRow(); notRun(h) }
	:: d_step { at[h] == unreachable -> notRun(h) }
	/* crash: the connection breaks, a late commit may still take effect */
	:: d_step { at[h] != idle -> wire[h] = 0; at[h] = idle }
	od
}

/* The operator lists claims that stay incomplete, looks at the upstream and
 * records the finding. */
proctype Operator() {
	do
	:: d_step { row == CLAIMED && !watched -> watched = 1; seen = 0 }
	:: d_step { row == CLAIMED && watched && seen >= PATIENCE && runs == 0 -> clearRow() }
	:: d_step { row == CLAIMED && watched && seen >= PATIENCE && runs > 0 -> row = RAN }
	od
}

/* A request under way reaches the upstream or is lost within a tick. */
proctype Clock() {
	do
	:: d_step { !wire[0] && !wire[1] ->
		life[0] = (life[0] > 0 -> life[0] - 1 : 0);
		life[1] = (life[1] > 0 -> life[1] - 1 : 0);
		seen = (watched && seen < PATIENCE -> seen + 1 : seen) }
	od
}

init {
	atomic {
		run Handler(0);
		run Handler(1);
		run Operator();
		run Clock()
	}
}
