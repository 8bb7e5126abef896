/* Freshness and revocation among three instances (section 4 of docs/design.md,
 * rules in docs/decisions-state.md).
 *
 * Time is a tick that lowers all remaining lives. An outage of the table or a
 * lost message is a step that is not taken; a pause is an instance that takes
 * no step while time passes. Votes of a poll arrive at any time. An answer of
 * the table or of one instance is delivered when it is made: a later delivery
 * gives the same revision for a shorter time. Acknowledgements count from when
 * they are made, the earliest moment at which they can count. Every change of revision may be a configuration
 * change, a join or a removal. An instance may crash and come back with a new
 * incarnation and without memory.
 *
 * Broken variants: NO_WAIT, NO_MARGIN, NO_VOUCH, NONMEMBER_TABLE,
 * NEWEST_ELECTORATE, ANY_INCARNATION, STATELESS_VOTE, UNREACHABLE_COUNTS,
 * KEEP_AFTER_REMOVAL.
 */
#define N 3
#ifndef W
#define W 2          /* window, ticks */
#endif
#define M 1          /* margin, ticks: the acceptor's clock may gain one tick */
#ifndef MAXREV
#define MAXREV 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

#ifndef FLIGHT
#define FLIGHT 1     /* instances with a poll under way at the same time */
#endif

#ifdef NO_MARGIN
#define WAIT W
#else
#define WAIT (W + M)
#endif
#define NONE 15

/* Membership of each revision: two bits per instance, 0 not a member, otherwise
 * incarnation + 1. */
byte mem[MAXREV + 1];
byte head = 0;       /* newest committed revision */
byte accepted = 0;
byte crashes = 0;

bit state[N] = 1;    /* has state in memory */
bit inc[N];
byte rev[N];
bit member[N] = 1;   /* was a member of the held revision when it last looked */
byte left[N];        /* ticks of freshness left */
byte vouch[N];       /* ticks for which a non-member may rely on a statement about */
byte vouchOlder[N];  /* the held revision, and about an older one */

/* The poll under way. */
byte life[N];        /* ticks that its evidence would last, 0 for no poll */
byte res[N];         /* revision that it asks about */
byte votes[N];       /* bit per voter */

/* Highest revision acknowledged per instance and incarnation, and highest one
 * acknowledged clearly, index 2 * instance + incarnation. */
byte ack[2 * N];
byte clear[2 * N];

byte target = 0;     /* revision that the acceptor follows, 0 for none */
byte timer = NONE;   /* ticks until the windows of all others have expired */
bit gained = 0;      /* the acceptor's clock has gained its tick */

#define SLOT(m, i) (((m) >> (2 * (i))) & 3)
#ifdef ANY_INCARNATION
#define IS(m, i) (SLOT(m, i) != 0)
#define ACK(i, slot) (ack[2 * (i)] > ack[2 * (i) + 1] -> ack[2 * (i)] : ack[2 * (i) + 1])
#define CLEAR(i, slot) (clear[2 * (i)] > clear[2 * (i) + 1] -> clear[2 * (i)] : clear[2 * (i) + 1])
#else
#define IS(m, i) (SLOT(m, i) == inc[i] + 1)
#define ACK(i, slot) ack[2 * (i) + (slot) - 1]
#define CLEAR(i, slot) clear[2 * (i) + (slot) - 1]
#endif
#define MEMBER(i) (state[i] && IS(mem[rev[i]], i))

#define SIZE(m) ((SLOT(m, 0) != 0) + (SLOT(m, 1) != 0) + (SLOT(m, 2) != 0))
/* A member whose successor answers at its address makes no statements any more
 * and counts towards the majority; its window is waited for. */
#ifdef UNREACHABLE_COUNTS
#define GONE(m, i) true
#else
#define GONE(m, i) (SLOT(m, i) != inc[i] + 1)
#endif
#define HAS(m, i, r) (SLOT(m, i) != 0 && (GONE(m, i) || ACK(i, SLOT(m, i)) >= r))
#define MAJ(m, r) (2 * (HAS(m, 0, r) + HAS(m, 1, r) + HAS(m, 2, r)) > SIZE(m))
#ifdef NO_VOUCH
#define SETTLED(m, i, r) (SLOT(m, i) == 0 || ACK(i, SLOT(m, i)) >= r)
#else
#define SETTLED(m, i, r) (SLOT(m, i) == 0 || CLEAR(i, SLOT(m, i)) >= r)
#endif
#define ALL(m, r) (SETTLED(m, 0, r) && SETTLED(m, 1, r) && SETTLED(m, 2, r))

/* Electorates: the memberships from the last accepted revision to r. */
#ifdef NEWEST_ELECTORATE
#define OVER(P, r) P(mem[r], r)
#else
#define AT(P, v, r) (v < accepted || v > r || P(mem[(v > r -> r : v)], r))
#if MAXREV == 2
#define OVER(P, r) (AT(P, 0, r) && AT(P, 1, r) && AT(P, 2, r))
#else
#define OVER(P, r) (AT(P, 0, r) && AT(P, 1, r) && AT(P, 2, r) && AT(P, 3, r))
#endif
#endif

#define BUSY ((life[0] > 0) + (life[1] > 0) + (life[2] > 0))
#define IDLE(i) (life[i] == 0 && BUSY < FLIGHT)

#define VOTED(i) ((votes[i] & 1) + ((votes[i] >> 1) & 1) + ((votes[i] >> 2) & 1))
/* An authorization is exercised by a fresh instance on the revision it holds. */
#define OK(i) (!(state[i] && left[i] > 0 && rev[i] < accepted))

inline forget(i) { life[i] = 0; res[i] = 0; votes[i] = 0 }

/* settle acknowledges the held revision, clearly if nobody relies on an older
 * statement. */
inline settle(i) {
	if
	:: state[i] && rev[i] > ack[2 * i + inc[i]] -> ack[2 * i + inc[i]] = rev[i]
	:: else
	fi;
	if
	:: state[i] && vouchOlder[i] == 0 && rev[i] > clear[2 * i + inc[i]] -> clear[2 * i + inc[i]] = rev[i]
	:: else
	fi
}

/* hold makes r the held revision if it is newer. */
inline hold(i, r) {
	if
	:: !state[i] -> state[i] = 1; rev[i] = r
	:: state[i] && r > rev[i] ->
		rev[i] = r;
		vouchOlder[i] = (vouch[i] > vouchOlder[i] -> vouch[i] : vouchOlder[i]);
		vouch[i] = 0
	:: else
	fi;
#ifndef KEEP_AFTER_REMOVAL
	if
	:: !MEMBER(i) && member[i] -> left[i] = 0
	:: else
	fi;
#endif
	member[i] = MEMBER(i);
	settle(i)
}

/* use takes evidence about revision r that lasts l ticks. */
inline use(i, l, r) {
	if
	:: l > left[i] && (r == rev[i] || MEMBER(i)) -> left[i] = l
	:: else
	fi;
	assert(OK(i))
}

/* speak records that j made a statement to i. */
inline speak(j, i) {
	if
	:: !(IS(mem[rev[j]], i) && MEMBER(i)) -> vouch[j] = WAIT
	:: else
	fi
}

inline read(i) {
	hold(i, head);
	if
#ifdef NONMEMBER_TABLE
	:: state[i] -> use(i, W, head)
#else
	:: MEMBER(i) -> use(i, W, head)
#endif
	:: else
	fi
}

/* answer lets j answer a sync of i; the life is what is left of j's evidence. */
inline answer(i, j) {
	speak(j, i);
	hold(i, rev[j]);
	use(i, left[j], rev[j])
}

inline askAll(i) {
	life[i] = W; res[i] = rev[i];
	if
	:: MEMBER(i) -> votes[i] = 1 << i
	:: else
	fi
}

#ifdef STATELESS_VOTE
#define VOTER(i, j) (SLOT(mem[res[i]], j) != 0)
#else
#define VOTER(i, j) (MEMBER(j) && IS(mem[res[i]], j))
#endif

inline vote(i, j) {
	speak(j, i);
	if
	:: state[j] && rev[j] > res[i] -> forget(i)
	:: else -> votes[i] = votes[i] | (1 << j)
	fi
}

inline commit(m) { mem[head + 1] = m; head++ }

#define CLEARED(m, i) ((m) & ~(3 << (2 * (i))))

proctype Instance(byte i; byte j; byte k) {
	do
	/* table */
	:: d_step { head > rev[i] || !state[i] || left[i] < W -> read(i) }
	/* peers */
	:: d_step { MEMBER(j) && left[j] > 0 -> answer(i, j) }
	:: d_step { MEMBER(k) && left[k] > 0 -> answer(i, k) }
	:: d_step { state[j] && (!state[i] || rev[j] > rev[i]) -> hold(i, rev[j]) }
	/* majority */
	:: d_step { IDLE(i) && state[i] -> askAll(i) }
	:: d_step { life[i] > 0 && !(votes[i] & (1 << j)) && VOTER(i, j) -> vote(i, j) }
	:: d_step { life[i] > 0 && !(votes[i] & (1 << k)) && VOTER(i, k) -> vote(i, k) }
	:: d_step { life[i] > 0 && 2 * VOTED(i) > SIZE(mem[res[i]]) -> use(i, life[i], res[i]); forget(i) }
	:: d_step { life[i] > 0 -> forget(i) }
	/* crash, and start without memory */
	:: d_step { crashes < CRASHES && inc[i] == 0 ->
		crashes++; inc[i] = 1; state[i] = 0; member[i] = 0; rev[i] = 0; left[i] = 0; vouch[i] = 0; vouchOlder[i] = 0; forget(i) }
	/* changes of the membership */
	:: d_step { head < MAXREV && state[i] && !IS(mem[head], i) ->
		commit(CLEARED(mem[head], i) | ((inc[i] + 1) << (2 * i))) }
	:: d_step { head < MAXREV && SLOT(mem[head], i) != 0 && SIZE(mem[head]) > 1 ->
		commit(CLEARED(mem[head], i)) }
	od
}

proctype Acceptor() {
	do
	:: d_step { head < MAXREV -> commit(mem[head]) }
	:: d_step { target == 0 && head > accepted -> target = head }
	:: d_step { target != 0 && timer == NONE && OVER(MAJ, target) -> timer = WAIT }
	:: d_step { target != 0 && timer != NONE && timer > 0 && !gained -> gained = 1; timer-- }
	:: d_step { target != 0 && timer != NONE && (timer == 0 || OVER(ALL, target)) ->
		if
		:: target > accepted -> accepted = target
		:: else
		fi;
		target = 0; timer = NONE; gained = 0;
		assert(OK(0) && OK(1) && OK(2)) }
#ifdef NO_WAIT
	:: d_step { target != 0 && timer != NONE -> timer = 0 }
#endif
	/* the acceptor crashes; another one starts from nothing */
	:: d_step { target != 0 -> target = 0; timer = NONE; gained = 0 }
	od
}

#define DEC(x) x = (x > 0 -> x - 1 : 0)
#define STALE(i) if :: life[i] == 0 -> forget(i) :: else fi

proctype Clock() {
	do
	:: d_step {
		DEC(left[0]); DEC(left[1]); DEC(left[2]);
		DEC(vouch[0]); DEC(vouch[1]); DEC(vouch[2]);
		DEC(vouchOlder[0]); DEC(vouchOlder[1]); DEC(vouchOlder[2]);
		DEC(life[0]); DEC(life[1]); DEC(life[2]);
		STALE(0); STALE(1); STALE(2);
		settle(0); settle(1); settle(2);
		timer = (timer != NONE && timer > 0 -> timer - 1 : timer) }
	od
}

init {
	atomic {
		mem[0] = 1 | (1 << 2) | (1 << 4);
		run Instance(0, 1, 2);
		run Instance(1, 2, 0);
		run Instance(2, 0, 1);
		run Acceptor();
		run Clock()
	}
}
