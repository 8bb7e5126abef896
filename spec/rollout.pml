/*
 * Orders to an engine by leaders that follow each other. A leader takes the lease
 * with a higher fencing token, reads the engine's report and orders the newest
 * named version. It may be paused at any point, so that its lease lapses before it
 * acts on what it read. An order may be carried out at any later time, or never.
 * The engine may restart: its count of orders and its fence start anew.
 *
 * Checked: the engine's version never falls; one order loads each version once;
 * accepted orders of one start of the engine never have a falling token.
 */
#ifndef VERSIONS
#define VERSIONS 3
#endif
#define LEADERS 2
#define ORDERS 2 /* under way at most */
#define RESTARTS 1
#define TAKEOVERS 3

byte wanted = 1;             /* newest named version */
byte holder = 0;             /* of the lease; 0: none */
byte token = 0;              /* of the lease */

byte version = 1;            /* of the engine's weights */
byte count = 0;              /* orders that the engine accepted since its start */
byte fence = 0;              /* highest token that it has seen since its start */
byte born = 0;               /* number of its starts */
byte lastToken = 0;          /* of the order accepted last in this start */

typedef order { bool used; byte token; byte expected; byte version; byte born };
order way[ORDERS];

active proctype operator()
{
	do
	:: wanted < VERSIONS -> wanted++
	:: else -> break
	od
}

proctype leader(byte self)
{
	byte mine, sawCount, sawVersion, sawBorn, i;
	bool sent;
endLeader:
	do
	:: atomic { holder != self && token < TAKEOVERS -> holder = self; token++; mine = token }
	:: atomic { mine > 0 && version < wanted -> /* the lease may have lapsed since it was checked */
		sawCount = count; sawVersion = version; sawBorn = born }
		if
		:: sawVersion < wanted ->
			atomic {
				i = 0; sent = false;
				do
				:: i < ORDERS && !sent && !way[i].used ->
					way[i].used = true;
					way[i].token = mine;
					way[i].expected = sawCount;
					way[i].version = wanted;
					way[i].born = sawBorn;
					sent = true
				:: i < ORDERS && (sent || way[i].used) -> i++
				:: i == ORDERS -> break
				od;
				i = 0; sent = false; sawCount = 0; sawVersion = 0; sawBorn = 0
			}
		:: else -> atomic { sawCount = 0; sawVersion = 0; sawBorn = 0 }
		fi
	od
}

/* The engine takes order i: it carries it out, refuses it, or the order is lost. */
inline take(i)
{
	if
	:: true /* lost */
	:: (true
#ifndef NO_FENCE
		&& way[i].token >= fence
#endif
#ifndef NO_EXPECTED
		&& way[i].expected == count
#endif
#ifndef NO_INSTANCE
		&& way[i].born == born
#endif
		&& way[i].version != version) ->
		assert(way[i].version > version);
		assert(way[i].token >= lastToken);
		lastToken = way[i].token;
		if
		:: way[i].token > fence -> fence = way[i].token
		:: else
		fi;
		version = way[i].version;
		count++
	fi;
	way[i].used = false;
	way[i].token = 0; way[i].expected = 0; way[i].version = 0; way[i].born = 0
}

active proctype engine()
{
	byte restarts = 0;
endEngine:
	do
	:: atomic { way[0].used -> take(0) }
	:: atomic { way[1].used -> take(1) }
	:: atomic { restarts < RESTARTS -> restarts++; born++; count = 0; fence = 0; lastToken = 0 }
	od
}

init
{
	atomic { run leader(1); run leader(2) }
}
